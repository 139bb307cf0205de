//! Where time and memory go, by part of the dispatcher: with the feature `meter`, at the end of the process, one line
//! on the standard error. Without it everything here is nothing at all.
//!
//! Parts lie within one another (the driver calls the module): each moment and each allocation is the innermost's.

/// A part of the dispatcher.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(not(feature = "meter"), allow(dead_code))]
pub enum Part {
    /// Clients' connections.
    Intake,
    /// The store.
    Journal,
    /// The decision module.
    Module,
    /// Endpoints' connections.
    Calls,
    /// The loop between them.
    Driver,
}

#[cfg(not(feature = "meter"))]
mod none {
    use super::Part;

    /// Does something on account of a part.
    #[inline(always)]
    pub fn within<T>(_: Part, what: impl FnOnce() -> T) -> T {
        what()
    }

    /// A future on account of a part.
    #[inline(always)]
    pub fn metered<F: Future>(_: Part, future: F) -> F {
        future
    }

    /// Tells what was counted.
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
        /// The part that is at work, and since when; none while the runtime is.
        now: Option<(usize, Instant, usize, usize)>,
    }

    thread_local! {
        static METER: RefCell<Meter> = RefCell::default();
    }

    impl Meter {
        /// Another part is at work from now on; the one that was before.
        fn turn(&mut self, part: Option<usize>) -> Option<usize> {
            let stats = ALLOCATOR.stats();
            let (now, count) = (Instant::now(), stats.allocations + stats.reallocations);
            let before = self.now.map(|(part, since, allocations, bytes)| {
                let account = &mut self.accounts[part];
                account.nanos += (now - since).as_nanos() as u64;
                account.allocations += count - allocations;
                account.bytes += stats.bytes_allocated - bytes;
                part
            });
            self.now = part.map(|part| (part, now, count, stats.bytes_allocated));
            before
        }
    }

    fn turn(part: Option<usize>) -> Option<usize> {
        METER.with(|meter| meter.try_borrow_mut().ok().and_then(|mut meter| meter.turn(part)))
    }

    /// Does something on account of a part.
    pub fn within<T>(part: Part, what: impl FnOnce() -> T) -> T {
        let before = turn(Some(part as usize));
        let done = what();
        turn(before);
        done
    }

    /// A future on account of a part.
    pub async fn metered<F: Future>(part: Part, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(move |cx| within(part, || future.as_mut().poll(cx))).await
    }

    /// Tells what was counted: a JSON object of parts, each with nanoseconds, allocations and bytes.
    pub fn report() {
        let accounts = METER.with(|meter| meter.borrow().accounts);
        let told = NAMES.iter().zip(accounts).map(|(name, a)| {
            format!(r#""{name}":{{"ns":{},"allocations":{},"bytes":{}}}"#, a.nanos, a.allocations, a.bytes)
        });
        eprintln!("meter {{{}}}", told.collect::<Vec<_>>().join(","));
    }
}

#[cfg(feature = "meter")]
pub use counted::{metered, report, within};
