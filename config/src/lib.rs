//! Settings files of processes, and configurations of routes and services: parsing, validation and route
//! lookup.

pub mod change;
pub mod config;
mod cursor;
mod digest;
mod error;
mod error_collector;
pub mod routes;
pub mod settings;
mod shares;
pub mod values;

pub use config::{Config, Limits, Route, Service, Traffic};
pub use cursor::JsonCursor;
pub use error::ConfigError;
pub use error_collector::ConfigErrors;
pub use routes::RouteTable;
pub use settings::Settings;
pub use shares::set_services;
