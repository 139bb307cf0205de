//! What may happen in a world, and what comes of it: each happening is made once, and a crash is tried between any two of
//! the effects that follow from it.

use super::*;

impl World {
    /// Ways in which a call without an answer may have fared.
    fn fates(&self) -> impl Iterator<Item = Ran> + use<> {
        let still = (self.left.lates > 0).then_some(Ran::Still);
        [Ran::Before, Ran::Never].into_iter().chain(still)
    }

    /// What may happen now, but for the draws of a round.
    pub fn happenings(&self) -> Vec<Happening> {
        let mut all = Vec::new();
        // Whoever gives up at a time does so before it has passed.
        let overdue = self.journal.pending() || self.flights.values().any(|flight| flight.until <= self.now);
        if self.breach.is_some() || self.over() {
            return all;
        }
        if self.messages.iter().any(|m| m.deadline.is_none()) {
            all.push(Happening::HandIn { left: false });
            if self.left.leaves > 0 {
                all.push(Happening::HandIn { left: true });
            }
        }
        if self.left.again > 0 {
            let handed =
                (0..self.messages.len()).filter(|n| self.messages[*n].deadline.is_some_and(|d| d > self.now));
            all.extend(handed.map(|message| Happening::Again { message }));
        }
        for (call, flight) in &self.flights {
            let call = *call;
            match &flight.stage {
                Stage::Connecting => {
                    if flight.until > self.now {
                        all.push(Happening::Connect { call, up: true });
                    }
                    if self.left.breaks > 0 || flight.until <= self.now {
                        all.push(Happening::Connect { call, up: false });
                    }
                }
                Stage::Connected => {}
                Stage::Out(_) if flight.until <= self.now => {
                    all.extend(self.fates().map(|ran| Happening::GiveUp { call, ran }));
                }
                Stage::Out(_) => {
                    let mut replies = vec![Reply::Served];
                    if self.left.refusals > 0 {
                        replies.extend([
                            Reply::Full,
                            Reply::Error { ran: true },
                            Reply::Error { ran: false },
                        ]);
                    }
                    if self.left.waits > 0 {
                        replies.push(Reply::Wait);
                    }
                    if self.left.breaks > 0 {
                        let after = self.fates().map(|ran| Reply::BreakAfter { ran });
                        replies.extend([Reply::BreakBefore].into_iter().chain(after));
                    }
                    all.extend(replies.into_iter().map(|reply| Happening::Partner { call, reply }));
                }
            }
        }
        for endpoint in 1..=self.left.endpoints {
            match self.away.get(&endpoint) {
                None => {
                    all.extend((self.left.drains > 0).then_some(Happening::Drain { endpoint }));
                    all.extend((self.left.losses > 0).then_some(Happening::Lose { endpoint }));
                }
                Some((_, true)) => all.push(Happening::Return { endpoint }),
                Some(_) => {}
            }
        }
        all.extend((0..self.running.len()).map(|place| Happening::Late { place }));
        for place in 0..self.notices.len() {
            all.push(Happening::Notice { place, heard: true });
            if self.left.unheard > 0 {
                all.push(Happening::Notice { place, heard: false });
            }
        }
        if self.left.changes > 0 && self.may_change() {
            all.push(Happening::Change);
        }
        let theirs = self.flights.values().filter(|flight| flight.theirs).count();
        if theirs > 0 {
            let ways = Crash::all(0, theirs, self.left.lates);
            all.extend(ways.map(|crash| Happening::Gone { ran: crash.ran }));
        }
        if self.journal.pending() {
            all.push(Happening::Sync);
        }
        if self.left.failing > 0 && !self.journal.fails_next {
            all.push(Happening::FailNext);
        }
        if self.due() {
            all.push(Happening::Decide);
        } else if !overdue && self.next().is_some() {
            all.push(Happening::Time);
        }
        all
    }

    /// Every step from here, each with the world that it leads to.
    pub fn expand(&self, mut each: impl FnMut(Step, World)) {
        if self.breach.is_some() {
            return;
        }
        let crashes = self.left.crashes > 0;
        if crashes {
            self.crashes(self, 0, (None, 0), &mut each);
        }
        for what in self.happenings() {
            let quiet = matches!(what, Happening::Time | Happening::FailNext | Happening::Late { .. });
            let mut open = vec![(0_u32, 0_u32)];
            while let Some((bits, told)) = open.pop() {
                let mut world = self.clone();
                let drawn = world.make(what, bits).min(u32::BITS);
                open.extend((told..drawn).map(|n| (bits | 1 << n, n + 1)));
                self.follow(world, (what, bits), crashes && !quiet, &mut each);
            }
        }
    }

    /// Carries out what follows from a happening; a crash may come between any two effects. After the last it is the
    /// same as a crash at rest, which is a step of its own.
    fn follow(
        &self,
        mut world: World,
        (what, bits): (Happening, u32),
        crashes: bool,
        each: &mut impl FnMut(Step, World),
    ) {
        let mut after = 0;
        loop {
            let cut = (crashes && after > 0).then(|| world.clone());
            if world.carry(Some(1)) == 0 {
                break;
            }
            if let Some(cut) = cut {
                self.crashes(&cut, after, (Some(what), bits), each);
            }
            after += 1;
        }
        world.look();
        each(Step { what: Some(what), bits, crash: None }, world);
    }

    /// Every crash of a world that was cut off after so many effects of what happened.
    fn crashes(
        &self,
        cut: &World,
        after: u8,
        (what, bits): (Option<Happening>, u32),
        each: &mut impl FnMut(Step, World),
    ) {
        let out = cut.flights.values().filter(|f| matches!(f.stage, Stage::Out(_))).count();
        for crash in Crash::all(after, out, cut.left.lates) {
            let mut world = cut.clone();
            world.die(self, what, crash);
            each(Step { what, bits, crash: Some(crash) }, world);
        }
    }

    fn die(&mut self, before: &World, what: Option<Happening>, crash: Crash) {
        // A wait that died with the process before all was done that follows from it was heard by nobody.
        if matches!(what, Some(Happening::Partner { reply: Reply::Wait, .. })) {
            self.waits_until = before.waits_until;
        }
        self.crash(crash, what.is_some());
    }

    /// The world after one step, which must be one that [`Self::expand`] tells of this world, or of one that is alike.
    pub fn after(&self, step: Step) -> World {
        let mut world = self.clone();
        if let Some(what) = step.what {
            world.make(what, step.bits);
        }
        match step.crash {
            Some(crash) => {
                world.carry(Some(crash.after));
                world.die(self, step.what, crash);
            }
            None => {
                world.carry(None);
                world.look();
            }
        }
        world
    }
}

/// The place of a happening in the order of a calm day; none where it would be a deviation from one.
fn calm_place(what: &Happening) -> Option<u8> {
    Some(match what {
        Happening::Sync => 0,
        Happening::Decide => 1,
        Happening::Connect { up: true, .. } => 2,
        Happening::Notice { heard: true, .. } => 3,
        Happening::HandIn { left: false } => 4,
        Happening::Partner { reply: Reply::Served, .. } => 5,
        Happening::GiveUp { ran: Ran::Before, .. } => 6,
        Happening::Connect { up: false, .. } => 7,
        Happening::Return { .. } => 8,
        Happening::Time => 9,
        _ => return None,
    })
}

impl World {
    /// The step that a calm day takes from here: messages come at once and one after the other, each call is served in
    /// the order of its writing, nothing breaks, and no time passes while anything else can happen. Delay-bounded
    /// scheduling (Emmi, Qadeer, Rakamaric, POPL 2011) explores what lies within so many steps off such a way.
    pub fn calm(&self) -> Option<Step> {
        let all = self.happenings().into_iter();
        let (_, what) =
            all.filter_map(|what| Some((calm_place(&what)?, what))).min_by_key(|(place, _)| *place)?;
        Some(Step { what: Some(what), bits: 0, crash: None })
    }
}
