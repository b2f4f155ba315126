//! Reads the body of a request to its announced end, or tells why that is not possible.

use async_io::Timer;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Request, StatusCode, headers::TRANSFER_ENCODING};
use oliveshift_core::{CompleteBody, IncompleteRequest};
use std::time::Duration;

use crate::stream::Stream;

/// Why a request was not received completely. None of the statuses is final: the client may send
/// the request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiptError {
    /// It took longer than its client leaves for that.
    Late,
    /// It ended before its announced end.
    CutOff,
    /// The client closed the connection.
    Closed,
    /// Its body is larger than the limit.
    TooLarge,
    /// Its body is encoded in a way that is not supported.
    UnknownEncoding,
}

impl ReceiptError {
    /// The status of the answer; `None` if nobody reads it.
    pub fn status(self) -> Option<StatusCode> {
        match self {
            Self::Late | Self::CutOff => Some(StatusCode::RequestTimeout),
            Self::Closed => None,
            Self::TooLarge => Some(StatusCode::PayloadTooLarge),
            Self::UnknownEncoding => Some(StatusCode::NotImplemented),
        }
    }

    /// The reason, for the client and the log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Late => "the request did not arrive in time",
            Self::CutOff => "the request ended before its announced end",
            Self::Closed => "the client closed the connection",
            Self::TooLarge => "the body is larger than the limit",
            Self::UnknownEncoding => "the body has an unsupported transfer encoding",
        }
    }
}

/// A body of which not all was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody {
    /// Why it is not complete.
    pub error: ReceiptError,
    /// The bytes that were received.
    pub received: usize,
    /// The bytes that were announced, if they were.
    pub announced: Option<usize>,
}

impl IncompleteBody {
    /// The description of the request for the log.
    pub fn describe(&self, path: Option<String>, receipt_time: Duration) -> IncompleteRequest {
        IncompleteRequest {
            path,
            received: self.received,
            announced: self.announced,
            receipt_time,
            status: self.error.status().map(u16::from),
            reason: self.error.reason(),
        }
    }
}

/// Receives the body of a request, of up to `max_bytes`, within `timeout` of the first byte of the
/// request.
///
/// # Errors
///
/// If the body is not received to its announced end.
pub async fn receive_body(
    stream: &Stream,
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
) -> Result<CompleteBody, IncompleteBody> {
    let announced = request.len();
    let incomplete = |error, received| IncompleteBody {
        error,
        received,
        announced,
    };
    if announced.is_some_and(|announced| announced > max_bytes) {
        return Err(incomplete(ReceiptError::TooLarge, 0));
    }
    let encoding = request.header(TRANSFER_ENCODING);
    if encoding.is_some_and(|e| !e.as_str().eq_ignore_ascii_case("chunked")) {
        return Err(incomplete(ReceiptError::UnknownEncoding, 0));
    }
    stream.limit_receipt_time(timeout);
    let mut bytes = Vec::new();
    let mut body = request.take_body().take(max_bytes as u64 + 1);
    let read = async { body.read_to_end(&mut bytes).await.is_ok() };
    let has_ended = match announced {
        Some(_) => read.await,
        // The decoder of chunks can wait for something else than the stream, which ends in time.
        None => {
            let remaining = timeout.saturating_sub(stream.receipt_time());
            let timed_out = async {
                Timer::after(remaining).await;
                false
            };
            read.or(timed_out).await
        }
    };
    if bytes.len() > max_bytes || (stream.is_budget_spent() && !has_ended) {
        return Err(incomplete(ReceiptError::TooLarge, bytes.len()));
    }
    if !has_ended {
        let error = match stream.is_receipt_overdue() {
            true => ReceiptError::Late,
            false => ReceiptError::CutOff,
        };
        return Err(incomplete(error, bytes.len()));
    }
    CompleteBody::new(bytes, announced)
        .map_err(|cut_off| incomplete(ReceiptError::CutOff, cut_off.received))
}
