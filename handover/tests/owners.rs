//! Every order of steps of two processes and a folder, each of which may die at any moment: one owner at each instant, and
//! the work is never left lying while both are there.

use std::collections::{HashSet, VecDeque};

use millpost_handover::{Does, Giver, Heard, Stands};

/// What the taker is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Taker {
    /// It has asked, or is about to.
    Asking,
    /// It was offered the work and has not opened the store yet.
    Offered,
    /// It holds the lock, and has not marked the store.
    Locked,
    /// It is the owner, and has not said so.
    Marked,
    Owner,
    Dead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Who {
    Giver,
    Taker,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    giver: Giver,
    giver_lives: bool,
    taker: Taker,
    /// Who holds the folder's lock.
    lock: Option<Who>,
    mark: u64,
    /// The giver has heard that the connection is gone, and has not opened the store yet.
    reopening: bool,
    /// What the taker said and the giver has not heard.
    mine_said: bool,
}

/// A mistake that could be made.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// A connection that is gone counts as proof that nobody took the work.
    SilenceIsProof,
    /// The taker decides before it holds the lock.
    OwnsUnlocked,
    /// The giver goes on while it offers.
    DecidesWhileOffering,
}

impl World {
    fn new() -> Self {
        World {
            giver: Giver::default(),
            giver_lives: true,
            taker: Taker::Asking,
            lock: Some(Who::Giver),
            mark: 1,
            reopening: false,
            mine_said: false,
        }
    }

    /// How many processes decide.
    fn deciding(&self, fault: Option<Fault>) -> usize {
        let offering = matches!(self.giver.stands(), Stands::Offering { .. });
        let giver = self.giver.decides() || offering && fault == Some(Fault::DecidesWhileOffering);
        let early = self.taker == Taker::Offered && fault == Some(Fault::OwnsUnlocked);
        let taker = matches!(self.taker, Taker::Marked | Taker::Owner) || early;
        usize::from(giver && self.giver_lives) + usize::from(taker)
    }

    /// What the giver does about what it hears.
    fn hear(&mut self, heard: Heard, fault: Option<Fault>) {
        match self.giver.heard(heard) {
            Does::Offer => (self.lock, self.taker) = (None, Taker::Offered),
            // It takes the work back without a look.
            Does::Reopen if fault == Some(Fault::SilenceIsProof) => self.giver = Giver::default(),
            Does::Reopen => self.reopening = true,
            // What begins in its place is a new process, as the taker is one.
            Does::StartAfresh | Does::End => self.die(Who::Giver),
            Does::Nothing | Does::Refuse | Does::Finish | Does::GoOn => {}
        }
    }

    /// A process dies, and the system lets its lock go.
    fn die(&mut self, who: Who) {
        match who {
            Who::Giver => self.giver_lives = false,
            Who::Taker => self.taker = Taker::Dead,
        }
        self.lock = self.lock.filter(|holds| *holds != who);
    }

    /// Every world that may come next, but for deaths; `None` in place of one that does not change.
    fn steps(&self, fault: Option<Fault>) -> Vec<World> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            all.push(world);
        };
        let owner = self.giver_lives && self.giver.stands() == Stands::Owner;
        match self.taker {
            Taker::Asking if owner => step(&|w| w.hear(Heard::Asked { fit: true, mark: w.mark }, fault)),
            Taker::Asking | Taker::Offered if self.lock.is_none() => {
                step(&|w| (w.lock, w.taker) = (Some(Who::Taker), Taker::Locked));
            }
            // The folder is held by another again: it asks once more.
            Taker::Offered => step(&|w| w.taker = Taker::Asking),
            Taker::Locked => step(&|w| (w.mark, w.taker) = (w.mark + 1, Taker::Marked)),
            Taker::Marked => step(&|w| (w.taker, w.mine_said) = (Taker::Owner, true)),
            _ => {}
        }
        if self.giver_lives && self.mine_said {
            step(&|w| {
                w.mine_said = false;
                w.hear(Heard::Mine, fault);
            });
        }
        // The connection ends with the taker, and is given up after a time whatever the taker is at.
        let offering = matches!(self.giver.stands(), Stands::Offering { .. });
        if self.giver_lives && !self.reopening && (offering || self.taker == Taker::Dead) {
            step(&|w| w.hear(Heard::TakerGone, fault));
        }
        if self.giver_lives && self.reopening {
            step(&|w| {
                w.reopening = false;
                let free = w.lock.is_none();
                if free {
                    w.lock = Some(Who::Giver);
                }
                w.hear(Heard::Reopened(free.then_some(w.mark)), fault);
            });
        }
        all.retain(|world| world != self);
        all
    }
}

/// All states, and the first in which two decide, or in which both live and nobody ever will decide.
fn explore(fault: Option<Fault>) -> (usize, Option<String>) {
    let (mut seen, mut open) = (HashSet::from([World::new()]), VecDeque::from([World::new()]));
    while let Some(world) = open.pop_front() {
        let mut next = world.steps(fault);
        match world.deciding(fault) {
            0 if next.is_empty() && (world.giver_lives && world.taker != Taker::Dead) => {
                return (seen.len(), Some(format!("nobody decides: {world:?}")));
            }
            0 | 1 => {}
            _ => return (seen.len(), Some(format!("two decide: {world:?}"))),
        }
        for who in [Who::Giver, Who::Taker] {
            let mut dead = world.clone();
            dead.die(who);
            next.push(dead);
        }
        // The mark only grows with a taker's locking: few of them are enough.
        for world in next.into_iter().filter(|world| world.mark < 4) {
            if seen.insert(world.clone()) {
                open.push_back(world);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn one_process_decides_in_every_state_and_the_work_is_not_left_lying() {
    let (states, breach) = explore(None);
    println!("{states} states");
    assert_eq!(breach, None);
    assert!(states > 25, "{states}");
}

#[test]
fn planted_faults_are_found() {
    for fault in [Fault::SilenceIsProof, Fault::OwnsUnlocked, Fault::DecidesWhileOffering] {
        let (_, breach) = explore(Some(fault));
        println!("{fault:?}: {breach:?}");
        assert!(breach.is_some_and(|breach| breach.starts_with("two decide")), "{fault:?}");
    }
}
