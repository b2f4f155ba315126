//! The cloud.

use oliveshift_core::Target;

use crate::{
    http::{Asked, Told},
    site::{Shared, call},
};

/// Answers a request to the cloud.
pub fn answer(site: &Shared, asked: Asked) -> Told {
    let mut site = site.borrow_mut();
    site.pass();
    let now = site.now();
    let (status, body, gone) = site.cloud.execute(now, &call(Target::Cloud, asked));
    for name in gone {
        site.remove(&name);
    }
    Told { status, body }
}
