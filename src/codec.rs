//! Binary encoding of numbers and times for state that outlives the process. Little-endian; times are stored
//! relative to the time of writing.

use crate::api::Nanos;

/// The bytes written so far, and the time that times are relative to.
pub(crate) struct Writer(pub Vec<u8>, pub Nanos);

impl Writer {
    pub fn number(&mut self, n: u64) {
        self.0.extend_from_slice(&n.to_le_bytes());
    }
    pub fn float(&mut self, x: f64) {
        self.0.extend_from_slice(&(x as f32).to_le_bytes());
    }
    pub fn time(&mut self, at: Nanos) {
        self.number((at as i64).wrapping_sub(self.1 as i64) as u64);
    }
    pub fn optional_time(&mut self, at: Option<Nanos>) {
        self.0.push(at.is_some().into());
        self.time(at.unwrap_or(0));
    }
}

/// The bytes left to read, and the time that times are relative to. Reads return `None` at the end of the
/// bytes, and for floats that are negative or not finite.
pub(crate) struct Reader<'a>(pub &'a [u8], pub Nanos);

impl Reader<'_> {
    pub fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }
    pub fn number(&mut self) -> Option<u64> {
        self.take().map(u64::from_le_bytes)
    }
    pub fn float(&mut self) -> Option<f64> {
        self.take().map(|b| f64::from(f32::from_le_bytes(b))).filter(|x| x.is_finite() && *x >= 0.0)
    }
    pub fn time(&mut self) -> Option<Nanos> {
        self.number().map(|at| self.1.saturating_add_signed(at as i64))
    }
    pub fn optional_time(&mut self) -> Option<Option<Nanos>> {
        let [present] = self.take()?;
        self.time().map(|at| (present > 0).then_some(at))
    }
}
