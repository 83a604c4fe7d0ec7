//! What the pages answer.
//!
//! Each answer that is not a success has one shape, `{"error": {"code": .., "text": ..}}`, whatever
//! went wrong: a program switches on the code and a person reads the text, which says what to do.

use derive::domain;
use model::{
    config::ServiceRule,
    names::{MemberName, RouteName, ServiceName},
    numbers::{ConfigNumber, GroupNumber},
    patch::{PatchId, PatchRefusal},
    ports::ControlFault,
    report::{CapacityRow, UpstreamRow},
    route::RouteRule,
};
use poem::{Response, http::StatusCode};
use serde::Serialize;
use snafu::Snafu;

/// What a program may switch on when a request failed.
#[domain(value)]
pub enum ErrorCode {
    /// The secret is wrong or missing.
    Unauthorized,
    /// There is no such page.
    NoSuchPage,
    /// The page takes another method.
    NoSuchMethod,
    /// There is no such patch, service or VM.
    NotFound,
    /// The request could not be read.
    Malformed,
    /// The body is over the limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// There is newer work than the patch's base.
    StaleBase,
    /// The patch names a number that there has not been.
    FutureBase,
    /// The patch does not validate.
    Invalid,
    /// Another patch has the same identifier.
    OtherPatch,
    /// No majority of the control VMs was reached: sending the same again is safe.
    Unavailable,
    /// The control VMs' data folder is full.
    NoSpace,
    /// What was asked for does not make sense now.
    Refused,
    /// The interface itself failed.
    Internal,
}

/// What went wrong, for a program and for a person.
#[domain]
pub struct ErrorDetail {
    /// What a program may switch on.
    pub code: ErrorCode,
    /// What happened and what to do.
    pub text: String,
    /// The refusal of a patch, where it is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<PatchRefusal>,
}

/// The body of each answer that is not a success.
#[domain]
pub struct ErrorAnswer {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// A floor that the upstreams announced now cannot carry. The patch is accepted all the same, since
/// a floor may be agreed before its upstreams are switched on.
#[domain]
pub struct FloorWarning {
    /// The service.
    pub service: ServiceName,
    /// The floor that the patch asks for, in slots.
    pub floor_slots: u32,
    /// The slots of the upstreams that are announced and not leaving.
    pub announced_slots: u32,
    /// The same as a sentence that says what to do.
    pub text: String,
}

/// The answer to a submitted patch.
#[domain]
pub enum PatchAnswer {
    /// The patch is accepted. It stays so.
    Accepted {
        /// The number that it made.
        number: ConfigNumber,
        /// What to look at.
        #[serde(default)]
        warnings: Vec<FloorWarning>,
    },
    /// The patch changed nothing.
    #[serde(rename = "error")]
    Refused {
        /// What a program may switch on.
        code: ErrorCode,
        /// What happened and what to do.
        text: String,
        /// Why.
        refusal: PatchRefusal,
    },
}

/// The answer to a patch that was only checked.
#[domain]
pub struct CheckAnswer {
    /// The number that it would make.
    pub would_make: ConfigNumber,
    /// What to look at.
    pub warnings: Vec<FloorWarning>,
}

/// The first result of a patch that was sent before.
#[domain]
pub struct KnownPatch {
    /// The patch.
    pub id: PatchId,
    /// The number that it made, if it was accepted.
    pub number: Option<ConfigNumber>,
    /// Why it changed nothing, if it was refused.
    pub refusal: Option<PatchRefusal>,
}

/// The answer of a watch.
#[domain]
pub struct WatchAnswer {
    /// The number in force on the asked VM.
    pub number: ConfigNumber,
    /// The digest of its content.
    pub digest: u64,
    /// Whether it is later than the number asked about. `false`: ask again.
    pub changed: bool,
}

/// One service in the list of services.
#[domain]
pub struct ServiceRow {
    /// Its name.
    pub service: ServiceName,
    /// Its rule.
    pub rule: ServiceRule,
    /// How many routes lead to it.
    pub routes: u32,
}

/// One service with all that belongs to it.
#[domain]
pub struct ServiceDetail {
    /// Its name.
    pub service: ServiceName,
    /// Its rule.
    pub rule: ServiceRule,
    /// The routes that lead to it.
    pub routes: Vec<(RouteName, RouteRule)>,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamRow>,
    /// Its capacity, where its placers are known to the asked VM.
    pub capacity: Vec<CapacityRow>,
}

/// A planned stop that has begun.
#[domain]
pub struct DrainAnswer {
    /// The VM that stops.
    pub draining: MemberName,
}

/// A change of replicas that was taken.
#[domain]
pub struct ReplicaAnswer {
    /// The group.
    pub group: GroupNumber,
}

/// A snapshot that was written.
#[domain]
pub struct SnapshotAnswer {
    /// The group.
    pub group: GroupNumber,
    /// The last index that the snapshot covers.
    pub index: u64,
}

/// Why a page has no success to answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PageFault {
    /// The secret is wrong or missing.
    #[snafu(display("wrong or missing secret; send the operators' secret as a bearer token"))]
    Unauthorized,
    /// There is no such page.
    #[snafu(display("there is no page {path}; docs/OPERATING.md lists the pages"))]
    NoSuchPage {
        /// The path that was asked for.
        path: String,
    },
    /// The page takes another method.
    #[snafu(display("{path} takes another method; docs/OPERATING.md lists the pages"))]
    NoSuchMethod {
        /// The path that was asked for.
        path: String,
    },
    /// There is no such thing.
    #[snafu(display("there is no {kind} {name}; {advice}"))]
    NotFound {
        /// What kind of thing.
        kind: &'static str,
        /// Its name.
        name: String,
        /// What to do.
        advice: &'static str,
    },
    /// The request could not be read.
    #[snafu(display("cannot read {what}: {reason}; {advice}"))]
    Malformed {
        /// Which part.
        what: &'static str,
        /// Why.
        reason: String,
        /// What to do.
        advice: &'static str,
    },
    /// The body is over the limit.
    #[snafu(display("the body is over {limit} bytes; split it where it is a patch"))]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive in {seconds} s; nothing was changed: send it again"))]
    TooSlow {
        /// The time allowed, in seconds.
        seconds: u64,
    },
    /// A patch was refused.
    #[snafu(display("{refusal}"))]
    Patch {
        /// Why.
        refusal: PatchRefusal,
    },
    /// A control operation could not be carried out.
    #[snafu(transparent)]
    Control {
        /// Why.
        source: ControlFault,
    },
    /// The interface itself failed.
    #[snafu(display("the interface failed: {reason}; look at the VM's log"))]
    Internal {
        /// What happened.
        reason: String,
    },
}

impl PageFault {
    fn status_and_code(&self) -> (StatusCode, ErrorCode) {
        match self {
            Self::Unauthorized => (StatusCode::UNAUTHORIZED, ErrorCode::Unauthorized),
            Self::NoSuchPage { .. } => (StatusCode::NOT_FOUND, ErrorCode::NoSuchPage),
            Self::NoSuchMethod { .. } => (StatusCode::METHOD_NOT_ALLOWED, ErrorCode::NoSuchMethod),
            Self::NotFound { .. } => (StatusCode::NOT_FOUND, ErrorCode::NotFound),
            Self::Malformed { .. } => (StatusCode::BAD_REQUEST, ErrorCode::Malformed),
            Self::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, ErrorCode::TooLarge),
            Self::TooSlow { .. } => (StatusCode::REQUEST_TIMEOUT, ErrorCode::TooSlow),
            Self::Patch { refusal } => patch_status_and_code(refusal),
            Self::Control { source } => control_status_and_code(source),
            Self::Internal { .. } => (StatusCode::INTERNAL_SERVER_ERROR, ErrorCode::Internal),
        }
    }

    /// Returns the answer in the one shape of errors.
    pub(crate) fn into_response(self) -> Response {
        let (status, code) = self.status_and_code();
        let (text, refusal) = match self {
            Self::Patch { refusal } => (refusal_text(&refusal), Some(refusal)),
            other => (other.to_string(), None),
        };
        json(status, &ErrorAnswer { error: ErrorDetail { code, text, refusal } })
    }
}

fn patch_status_and_code(refusal: &PatchRefusal) -> (StatusCode, ErrorCode) {
    match refusal {
        PatchRefusal::StaleBase { .. } => (StatusCode::CONFLICT, ErrorCode::StaleBase),
        PatchRefusal::FutureBase { .. } => (StatusCode::CONFLICT, ErrorCode::FutureBase),
        PatchRefusal::Invalid { .. } => (StatusCode::UNPROCESSABLE_ENTITY, ErrorCode::Invalid),
        PatchRefusal::OtherPatch { .. } => (StatusCode::CONFLICT, ErrorCode::OtherPatch),
    }
}

fn control_status_and_code(fault: &ControlFault) -> (StatusCode, ErrorCode) {
    match fault {
        ControlFault::Unavailable { .. } => {
            (StatusCode::SERVICE_UNAVAILABLE, ErrorCode::Unavailable)
        }
        ControlFault::NoSpace => (StatusCode::INSUFFICIENT_STORAGE, ErrorCode::NoSpace),
        ControlFault::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, ErrorCode::TooLarge),
        ControlFault::Refused { .. } => (StatusCode::CONFLICT, ErrorCode::Refused),
    }
}

/// Spells a refusal out: each fault, or each entry that newer work has touched as well.
pub fn refusal_text(refusal: &PatchRefusal) -> String {
    let parts: Vec<String> = match refusal {
        PatchRefusal::Invalid { faults } => faults.iter().map(ToString::to_string).collect(),
        PatchRefusal::StaleBase { conflicts, .. } => {
            let touched = conflicts.iter().map(|change| {
                let (kind, name) = change.target();
                format!("newer work touches {kind} {name}").trim_end().to_owned()
            });
            touched.collect()
        }
        PatchRefusal::FutureBase { .. } | PatchRefusal::OtherPatch { .. } => Vec::new(),
    };
    std::iter::once(refusal.to_string()).chain(parts).collect::<Vec<_>>().join("; ")
}

/// Makes an answer with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("answers have a JSON form");
    Response::builder().status(status).content_type("application/json").body(body)
}

/// Makes a success.
pub(crate) fn ok(value: &impl Serialize) -> Response {
    json(StatusCode::OK, value)
}
