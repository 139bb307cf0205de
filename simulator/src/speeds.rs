//! Distributions of worker speeds.
//!
//! Speeds are drawn from a separate generator, so days that differ only in this setting are otherwise equal.
//! A slow worker takes longer to run requests, but not to start instances.

use std::str::FromStr;

use snafu::Snafu;

use crate::rng::Rng;
use crate::site::Site;
use crate::{SECOND, Time};

/// A distribution of worker speeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Speeds {
    /// All workers at speed 1, which the functions are sized for.
    #[default]
    Even,
    /// Half of the workers at 0.5, half at 1.5.
    Half,
    /// One worker in ten at 0.25.
    Tenth,
    /// Log-uniform from 0.4 to 2, with the median at 0.9.
    Spread,
    /// One worker in four slows down to 0.35 after a third of the day.
    Turning,
}

/// The name matches no distribution.
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

/// The speed of one worker over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    first: f64,
    later: Option<(Time, f64)>,
}

impl Speed {
    /// The speed at this time.
    pub fn at(&self, now: Time) -> f64 {
        self.later.filter(|(from, _)| *from <= now).map_or(self.first, |(_, speed)| speed)
    }
}

impl Speeds {
    /// Draws one speed for each worker of the site.
    pub fn draw(self, site: &Site, seed: u64) -> Vec<Speed> {
        let mut rng = Rng::new(seed ^ 0x9eed5);
        let count = site.workers.len();
        // Uniform random permutation (Fisher-Yates).
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
