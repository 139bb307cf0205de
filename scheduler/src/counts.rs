//! What a proxy has done with permits since it started, counted for operators. Nothing is decided by it.

use compact_str::CompactString;

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Namings that were taken in.
    pub views_applied: u64,
    /// Permits whose slots were freed because the proxy that had them was taken to be gone.
    pub freed: u64,
    /// Permits that were told to a new owner.
    pub handed_over: u64,
    /// Permits that an owner of before told of.
    pub taken_over: u64,
    /// Permits that their holders told of, since their owner was gone.
    pub held: u64,
    /// Notes to a proxy whose address is not known: it hears nothing of them.
    pub unaddressed: u64,
    /// Instances that turned a request away as full although a slot was free by what was known here.
    pub refused_as_full: u64,
    /// The last of these, and how many permits were counted there.
    pub last_full: Option<(CompactString, usize)>,
}
