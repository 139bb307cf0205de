//! A recorded day played again: the inputs of a stall's desk, of the steward's scaler or of a porter's round, line by line, against the state machines as
//! they are built here. What comes of them is counted by second, watched for what must not be, printed, and compared.
//!
//! A play is open: it gives what was recorded, when it was recorded, whatever comes of it.

pub mod check;
pub mod clocks;
pub mod cut;
pub mod decided;
pub mod diff;
pub mod duty;
mod errors;
pub mod explain;
pub mod feeds;
pub mod instance;
pub mod lines;
mod machines;
pub mod numbers;
pub mod outs;
pub mod play;
pub mod report;
pub mod requests;
pub mod rows;
pub mod state;
pub mod story;
pub mod survey;
pub mod table;
pub mod until;
pub mod version;
pub mod words;

pub use errors::Error;
