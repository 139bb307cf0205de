//! Settings files and configurations: read, checked, routed by.

pub mod change;
pub mod config;
mod digest;
mod fault;
mod gather;
mod read;
pub mod routes;
pub mod settings;
mod shares;
pub mod values;

pub use config::{Config, Limits, Route, Service, Traffic};
pub use fault::ConfigError;
pub use gather::ConfigErrors;
pub use read::JsonCursor;
pub use routes::RouteTable;
pub use settings::Settings;
pub use shares::set_services;
