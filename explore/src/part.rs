//! Parts of a state that many states share; keeps: a part's number is that of what it holds.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use xxhash_rust::xxh3::Xxh3Default;

/// A number for this: what differs has another, but for one pair in 2^128.
pub fn print(of: &impl Hash) -> u128 {
    struct Whole(Xxh3Default);
    impl Hasher for Whole {
        fn write(&mut self, bytes: &[u8]) {
            self.0.update(bytes);
        }
        fn finish(&self) -> u64 {
            self.0.digest()
        }
    }
    let mut whole = Whole(Xxh3Default::new());
    of.hash(&mut whole);
    whole.0.digest128()
}

/// A part, copied only when it changes, with its number.
#[derive(Debug)]
pub struct Part<T> {
    held: Arc<T>,
    print: u128,
}

impl<T> Clone for Part<T> {
    fn clone(&self) -> Self {
        Part { held: self.held.clone(), print: self.print }
    }
}

impl<T: Clone + Hash> Part<T> {
    /// Of this.
    pub fn new(held: T) -> Self {
        Part { print: print(&held), held: Arc::new(held) }
    }
    /// Its number.
    pub fn print(&self) -> u128 {
        self.print
    }
    /// Does something to it.
    pub fn change<R>(&mut self, act: impl FnOnce(&mut T) -> R) -> R {
        let done = act(Arc::make_mut(&mut self.held));
        self.print = print(&*self.held);
        done
    }
}

impl<T> std::ops::Deref for Part<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.held
    }
}
