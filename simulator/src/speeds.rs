//! How fast workers are: all alike, or mixes of slower and faster ones.
//!
//! What is drawn has a stream of its own, so that a day differs by the speeds of its workers alone. Work takes a slow worker longer; a
//! start takes it as long as any.

use std::str::FromStr;

use snafu::Snafu;

use crate::rng::Rng;
use crate::site::Site;
use crate::{SECOND, Time};

/// A mix of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speeds {
    /// All as the functions were sized for.
    #[default]
    Even,
    /// Half of them at 0.5, half at 1.5.
    Half,
    /// One in ten at 0.25.
    Tenth,
    /// Each anywhere from 0.4 to 2, as likely below 0.9 as above.
    Spread,
    /// One in four turns to 0.35 after a third of the day.
    Turning,
}

/// No such mix.
#[derive(Debug, Snafu)]
#[snafu(display("speeds: {name:?} is none of even, half, tenth, spread, turning"))]
pub struct UnknownSpeeds {
    name: String,
}

impl FromStr for Speeds {
    type Err = UnknownSpeeds;

    fn from_str(name: &str) -> Result<Self, UnknownSpeeds> {
        match name {
            "even" => Ok(Speeds::Even),
            "half" => Ok(Speeds::Half),
            "tenth" => Ok(Speeds::Tenth),
            "spread" => Ok(Speeds::Spread),
            "turning" => Ok(Speeds::Turning),
            name => Err(UnknownSpeeds { name: name.to_owned() }),
        }
    }
}

/// How fast one worker is, and from some time on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    first: f64,
    later: Option<(Time, f64)>,
}

impl Speed {
    /// Its speed at this time.
    pub fn at(&self, now: Time) -> f64 {
        self.later.filter(|(from, _)| *from <= now).map_or(self.first, |(_, speed)| speed)
    }
}

impl Speeds {
    /// One speed for each worker of the site.
    pub fn draw(self, site: &Site, seed: u64) -> Vec<Speed> {
        let mut rng = Rng::new(seed ^ 0x9eed5);
        let count = site.workers.len();
        // Any order is as likely as any other.
        let mut order: Vec<usize> = (0..count).collect();
        for at in (1..count).rev() {
            order.swap(at, rng.below(at + 1));
        }
        let turns = site.lead + site.length / 3 / SECOND * SECOND;
        let one = |place: usize, rng: &mut Rng| match self {
            Speeds::Even => (1.0, None),
            Speeds::Half => (if place < count / 2 { 0.5 } else { 1.5 }, None),
            Speeds::Tenth => (if place < (count / 10).max(1) { 0.25 } else { 1.0 }, None),
            Speeds::Spread => (0.4 * 5f64.powf(rng.unit()), None),
            Speeds::Turning => (1.0, (place < count / 4).then_some((turns, 0.35))),
        };
        order
            .into_iter()
            .map(|place| {
                let (first, later) = one(place, &mut rng);
                Speed { first, later }
            })
            .collect()
    }
}
