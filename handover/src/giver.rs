//! The old process: what it is, and what it does at each step of giving the work away.

/// What the old process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stands {
    /// It owns the store and decides.
    Owner,
    /// It has offered the work, owns nothing and decides nothing. The mark of the store as it left it.
    Offering {
        /// See there.
        mark: u64,
    },
    /// Another process owns the work; this one finishes what is on its sockets.
    Hands,
    /// It does nothing more here.
    Over,
}

/// What it hears.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Heard {
    /// Somebody asks for the work; `fit` where nothing stands against it just now.
    Asked {
        /// See there.
        fit: bool,
        /// The mark of the store.
        mark: u64,
    },
    /// The taker says that it is the owner.
    Mine,
    /// The connection to the taker is gone, or it said no, or nothing in time.
    TakerGone,
    /// After that: the store is its own again, with this mark; or it is another's.
    Reopened(Option<u64>),
}

/// What it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Does {
    /// Nothing.
    Nothing,
    /// Says no.
    Refuse,
    /// Gives up the store, then says all that it knows.
    Offer,
    /// Finishes its calls and clients, and passes on what comes of them.
    Finish,
    /// Tries to get the store back: nobody may have taken it.
    Reopen,
    /// Goes on as if nothing had been.
    GoOn,
    /// Starts afresh from the store, as after a crash: another has been the owner.
    StartAfresh,
    /// Ends: another is the owner, and does not hear of it.
    End,
}

/// The old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Giver {
    stands: Stands,
}

impl Default for Giver {
    fn default() -> Self {
        Giver { stands: Stands::Owner }
    }
}

impl Giver {
    /// What it is.
    pub fn stands(&self) -> Stands {
        self.stands
    }

    /// It may decide, and write to the store.
    pub fn decides(&self) -> bool {
        self.stands == Stands::Owner
    }

    /// What it does about what it hears.
    pub fn heard(&mut self, heard: Heard) -> Does {
        let (stands, does) = match (self.stands, heard) {
            (Stands::Owner, Heard::Asked { fit: true, mark }) => (Stands::Offering { mark }, Does::Offer),
            (stands, Heard::Asked { .. }) => (stands, Does::Refuse),
            (Stands::Offering { .. }, Heard::Mine) => (Stands::Hands, Does::Finish),
            (stands @ Stands::Offering { .. }, Heard::TakerGone) => (stands, Does::Reopen),
            // Nobody wrote to it: what was known is still true.
            (Stands::Offering { mark }, Heard::Reopened(Some(now))) if now == mark => {
                (Stands::Owner, Does::GoOn)
            }
            (Stands::Offering { .. }, Heard::Reopened(Some(_))) => (Stands::Over, Does::StartAfresh),
            (Stands::Offering { .. }, Heard::Reopened(None)) => (Stands::Over, Does::End),
            // The owner has died. Whoever is there takes the work up from the store.
            (Stands::Hands, Heard::TakerGone) => (Stands::Over, Does::StartAfresh),
            (stands, _) => (stands, Does::Nothing),
        };
        self.stands = stands;
        does
    }
}
