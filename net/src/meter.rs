//! Measures time and allocations by component of the dispatcher. With the feature `meter` a line on standard
//! error reports them at exit; without it all functions do nothing.
//!
//! Components are nested (the driver calls the module): time and allocations are attributed to the innermost
//! one.

/// A component of the dispatcher.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(not(feature = "meter"), allow(dead_code))]
pub enum Part {
    /// Client connections.
    Intake,
    /// The store.
    Journal,
    /// The decision module.
    Module,
    /// Connections to endpoints.
    Calls,
    /// The main loop that connects the others.
    Driver,
}

#[cfg(not(feature = "meter"))]
mod none {
    use super::Part;

    /// Runs a closure, measured for a component.
    #[inline(always)]
    pub fn within<T>(_: Part, what: impl FnOnce() -> T) -> T {
        what()
    }

    /// Wraps a future, measured for a component.
    #[inline(always)]
    pub fn metered<F: Future>(_: Part, future: F) -> F {
        future
    }

    /// Reports the measurements.
    pub fn report() {}
}

#[cfg(not(feature = "meter"))]
pub use none::{metered, report, within};

#[cfg(feature = "meter")]
mod counted {
    use std::alloc::System;
    use std::cell::RefCell;
    use std::future::poll_fn;
    use std::pin::pin;
    use std::time::Instant;

    use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

    use super::Part;

    #[global_allocator]
    static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

    const NAMES: [&str; 5] = ["intake", "journal", "module", "calls", "driver"];

    #[derive(Clone, Copy, Default)]
    struct Account {
        nanos: u64,
        allocations: usize,
        bytes: usize,
    }

    #[derive(Default)]
    struct Meter {
        accounts: [Account; 5],
        /// Running component with the time, allocations and bytes at its start; `None` while the runtime
        /// runs.
        current: Option<(usize, Instant, usize, usize)>,
    }

    thread_local! {
        static METER: RefCell<Meter> = RefCell::default();
    }

    impl Meter {
        /// Switches to another component, and returns the previous one.
        fn switch(&mut self, part: Option<usize>) -> Option<usize> {
            let stats = ALLOCATOR.stats();
            let (now, count) = (Instant::now(), stats.allocations + stats.reallocations);
            let before = self.current.map(|(part, since, allocations, bytes)| {
                let account = &mut self.accounts[part];
                account.nanos += (now - since).as_nanos() as u64;
                account.allocations += count - allocations;
                account.bytes += stats.bytes_allocated - bytes;
                part
            });
            self.current = part.map(|part| (part, now, count, stats.bytes_allocated));
            before
        }
    }

    fn switch(part: Option<usize>) -> Option<usize> {
        METER.with(|meter| meter.try_borrow_mut().ok().and_then(|mut meter| meter.switch(part)))
    }

    /// Runs a closure, measured for a component.
    pub fn within<T>(part: Part, what: impl FnOnce() -> T) -> T {
        let before = switch(Some(part as usize));
        let done = what();
        switch(before);
        done
    }

    /// Wraps a future, measured for a component.
    pub async fn metered<F: Future>(part: Part, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(move |cx| within(part, || future.as_mut().poll(cx))).await
    }

    /// Reports the measurements as a JSON object of components, each with nanoseconds, allocations and bytes.
    pub fn report() {
        let accounts = METER.with(|meter| meter.borrow().accounts);
        let components = NAMES.iter().zip(accounts).map(|(name, a)| {
            format!(r#""{name}":{{"ns":{},"allocations":{},"bytes":{}}}"#, a.nanos, a.allocations, a.bytes)
        });
        eprintln!("meter {{{}}}", components.collect::<Vec<_>>().join(","));
    }
}

#[cfg(feature = "meter")]
pub use counted::{metered, report, within};
