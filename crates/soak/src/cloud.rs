//! The simulated cloud API.

use oliveshift_core::Target;

use crate::{
    http::{HttpRequest, HttpResponse},
    site::{SharedSite, to_call},
};

/// Handles a request to the cloud, and removes the machines that it ends.
pub fn handle_request(site: &SharedSite, request: HttpRequest) -> HttpResponse {
    let mut site = site.borrow_mut();
    site.advance();
    let now = site.now();
    let (status, body, gone) = site.cloud.execute(now, &to_call(Target::Cloud, request));
    for name in gone {
        site.remove_machine(&name);
    }
    HttpResponse { status, body }
}
