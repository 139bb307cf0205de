//! Counters of permit operations for operators. They do not affect decisions.

use compact_str::CompactString;

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Membership views applied.
    pub views_applied: u64,
    /// Permits freed because the proxy that held them was taken to be gone.
    pub freed: u64,
    /// Permits transferred to a new owner.
    pub handed_over: u64,
    /// Permits taken over from a previous owner.
    pub taken_over: u64,
    /// Permits reported by their holders because their owner was gone.
    pub held: u64,
    /// Messages dropped because the address of the proxy was unknown.
    pub unaddressed: u64,
    /// Rejections as full by instances that had a free slot as far as known here.
    pub refused_as_full: u64,
    /// Instance of the last such rejection, and the permits counted there.
    pub last_full: Option<(CompactString, usize)>,
}
