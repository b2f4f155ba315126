//! Requests to real controllers on loopback: how they arrive, and what they are answered.

mod delivery;
mod deployment;
mod http;
mod mutations;
mod slow_clients;
mod submissions;
