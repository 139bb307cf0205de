//! What `millpost-fleet` is made of: questions to consoles, the table of what they say, and the audit as a page.

pub mod ask;
pub mod report;
pub mod status;
