//! Ids of jobs and tasks.

use std::{fmt, io, rc::Rc, str::FromStr};

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use thiserror::Error;

/// The id of a job, chosen by its user: `j-` followed by 1 to 40 digits.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(Rc<str>);

/// The id of a task, written as `j-000412/3`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's index in the job, from 0.
    pub index: u32,
}

/// The text is not a valid job or task id.
#[derive(Debug, Error, PartialEq, Eq)]
#[error(
    "not a valid id: expected a job id (`j-` and digits) or a task id (`j-` and digits, `/`, index)"
)]
pub struct BadId;

const PREFIX: &str = "j-";
const MAX_DIGITS: usize = 40;

impl JobId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The digits of the id, without the `j-` prefix.
    pub fn digits(&self) -> &str {
        &self.0[PREFIX.len()..]
    }

    /// The job id with these digits.
    pub fn from_digits(digits: &str) -> Result<Self, BadId> {
        format!("{PREFIX}{digits}").parse()
    }

    /// The id of the job's task with this index.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.clone(),
            index,
        }
    }
}

impl BorshSerialize for JobId {
    fn serialize<W: io::Write>(&self, to: &mut W) -> io::Result<()> {
        BorshSerialize::serialize(&*self.0, to)
    }
}

impl BorshDeserialize for JobId {
    fn deserialize_reader<R: io::Read>(from: &mut R) -> io::Result<Self> {
        let text: String = BorshDeserialize::deserialize_reader(from)?;
        let bad = |e| io::Error::new(io::ErrorKind::InvalidData, e);
        text.parse().map_err(bad)
    }
}

impl FromStr for JobId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let digits = text.strip_prefix(PREFIX).ok_or(BadId)?;
        let fits = (1..=MAX_DIGITS).contains(&digits.len());
        if fits && digits.bytes().all(|b| b.is_ascii_digit()) {
            Ok(Self(text.into()))
        } else {
            Err(BadId)
        }
    }
}

impl FromStr for TaskId {
    type Err = BadId;

    fn from_str(text: &str) -> Result<Self, BadId> {
        let (job, index) = text.split_once('/').ok_or(BadId)?;
        Ok(Self {
            job: job.parse()?,
            index: index.parse().map_err(|_| BadId)?,
        })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

macro_rules! serialize_as_text {
    ($($name:ty),*) => {$(
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<str> as Deserialize>::deserialize(from)?;
                text.parse().map_err(D::Error::custom)
            }
        }
    )*};
}

serialize_as_text!(JobId, TaskId);

#[cfg(test)]
mod tests;
