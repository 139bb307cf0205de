//! Where controllers run, and how many voters a loss within the tolerance can take at once.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_config::settings::Tolerance;

/// The place of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its zone.
    pub zone: CompactString,
    /// Its region.
    pub region: CompactString,
}

/// What may be lost at the same time, disks included: so many machines, or all machines of so many zones, or
/// all machines of so many regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossTolerance {
    /// Number of machines.
    pub machines: u32,
    /// Number of zones.
    pub zones: u32,
    /// Number of regions.
    pub regions: u32,
}

impl From<Tolerance> for LossTolerance {
    fn from(tolerance: Tolerance) -> Self {
        LossTolerance {
            machines: tolerance.machine_losses,
            zones: tolerance.zones,
            regions: tolerance.region_losses,
        }
    }
}

impl LossTolerance {
    /// The loss of so many machines, wherever they are.
    pub fn of_machines(machines: u32) -> Self {
        LossTolerance { machines, zones: 0, regions: 0 }
    }

    /// Whether it matters where voters are.
    pub fn has_zones(&self) -> bool {
        self.zones > 0 || self.regions > 0
    }

    /// The number of voters of which a majority survives each loss, if no two of them are in one zone or region
    /// that may be lost.
    pub fn voters(&self) -> usize {
        2 * self.losses() + 1
    }

    /// The number of voters that may be lost at the same time, if no two of them are in one zone or region that may
    /// be lost.
    pub fn losses(&self) -> usize {
        self.machines.max(self.zones).max(self.regions) as usize
    }

    /// The most of these voters that one loss takes. A voter whose location is unknown counts as one that shares
    /// no zone.
    pub fn worst_loss(&self, voters: &[Option<&Location>]) -> usize {
        let zones = largest(voters, self.zones, |location| &location.zone);
        let regions = largest(voters, self.regions, |location| &location.region);
        (self.machines as usize).min(voters.len()).max(zones).max(regions)
    }

    /// Whether a majority of these voters survives each loss.
    pub fn is_borne_by(&self, voters: &[Option<&Location>]) -> bool {
        2 * self.worst_loss(voters) < voters.len()
    }

    /// Compares choices of as many voters: the lower, the better they are spread. First comes the worst loss,
    /// then how unevenly the voters are spread, so that single replacements lead to the best choice.
    pub fn spread(&self, voters: &[Option<&Location>]) -> (usize, usize) {
        let squares = |name: fn(&Location) -> &CompactString| -> usize {
            counts(voters, name).values().map(|count| count * count).sum()
        };
        let zones = if self.zones > 0 { squares(|location| &location.zone) } else { 0 };
        let regions = if self.regions > 0 { squares(|location| &location.region) } else { 0 };
        (self.worst_loss(voters), zones + regions)
    }
}

/// The number of voters by the name of their zone or region.
fn counts<'a>(
    voters: &[Option<&'a Location>],
    name: fn(&Location) -> &CompactString,
) -> BTreeMap<&'a CompactString, usize> {
    let mut counts = BTreeMap::new();
    for location in voters.iter().flatten() {
        *counts.entry(name(location)).or_insert(0) += 1;
    }
    counts
}

/// The number of voters in the `lost` zones or regions with the most of them.
fn largest(voters: &[Option<&Location>], lost: u32, name: fn(&Location) -> &CompactString) -> usize {
    let mut sizes: Vec<_> = counts(voters, name).into_values().collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.iter().take(lost as usize).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Locations by letter; the regions are given in the order of the letters. `?` is unknown.
    fn locations(zones: &str, regions: &str) -> Vec<Option<Location>> {
        let region = |zone: char| regions.chars().nth(zone as usize - 'a' as usize).expect("a region");
        let location =
            |zone: char| Location { zone: zone.to_string().into(), region: region(zone).to_string().into() };
        zones.chars().map(|zone| (zone != '?').then(|| location(zone))).collect()
    }

    /// Cases: machines, zones and regions that may be lost; zones of the voters; regions of the zones; the worst
    /// loss, and whether it is borne.
    #[yare::parameterized(
        machines_only = { [1, 0, 0], "aaa", "r", 1, true },
        two_machines = { [2, 0, 0], "aab", "rr", 2, false },
        one_zone_of_three = { [1, 1, 0], "abc", "rrr", 1, true },
        two_voters_in_a_zone = { [1, 1, 0], "aab", "rr", 2, false },
        five_voters_in_three_zones = { [2, 1, 0], "aabbc", "rrr", 2, true },
        three_of_five_in_a_zone = { [2, 1, 0], "aaabc", "rrr", 3, false },
        two_zones_at_once = { [1, 2, 0], "abcde", "rrrrr", 2, true },
        a_region = { [1, 1, 1], "abc", "rrs", 2, false },
        three_regions = { [1, 1, 1], "abc", "rst", 1, true },
        two_zones_bear_no_loss_of_one = { [1, 1, 0], "aab", "rr", 2, false },
        unknown = { [1, 1, 0], "a?b", "rr", 1, true },
    )]
    fn worst_loss_counts_the_fullest_zones_and_regions(
        lost: [u32; 3],
        voters: &str,
        regions: &str,
        expected: usize,
        borne: bool,
    ) {
        let tolerance = LossTolerance { machines: lost[0], zones: lost[1], regions: lost[2] };
        let voters = locations(voters, regions);
        let voters: Vec<_> = voters.iter().map(Option::as_ref).collect();
        assert_eq!((tolerance.worst_loss(&voters), tolerance.is_borne_by(&voters)), (expected, borne));
    }

    #[test]
    fn a_better_spread_has_a_smaller_loss_or_fewer_voters_in_one_place() {
        let tolerance = LossTolerance { machines: 1, zones: 1, regions: 1 };
        let spread = |zones: &str| {
            let voters = locations(zones, "rrst");
            tolerance.spread(&voters.iter().map(Option::as_ref).collect::<Vec<_>>())
        };
        assert!(spread("aaa") > spread("aab"), "the same region is lost, but fewer share a zone");
        assert!(spread("aab") > spread("abc") && spread("abc") > spread("acd"));
        assert_eq!(tolerance.voters(), 3);
    }
}
