//! What each path of the operators' interface answers.

use std::sync::Arc;

use derive::domain;
use model::{
    config::ConfigImage,
    numbers::ConfigNumber,
    patch::{ConfigPatch, PatchRefusal, PatchResult},
    ports::{ControlFault, OperatorPort},
};
use poem::{Endpoint, Request, Response, Result, Route, get, http::StatusCode, post};
use serde::Serialize;

/// The answer to a submitted patch.
#[domain]
pub enum PatchAnswer {
    /// The patch is accepted. It stays so.
    Accepted {
        /// The number that it made.
        number: ConfigNumber,
    },
    /// The patch changed nothing.
    Refused {
        /// Why.
        refusal: PatchRefusal,
    },
}

impl From<PatchResult> for PatchAnswer {
    fn from(result: PatchResult) -> Self {
        match result {
            Ok(number) => Self::Accepted { number },
            Err(refusal) => Self::Refused { refusal },
        }
    }
}

/// The answer where an operation could not be carried out.
#[domain]
pub struct FaultAnswer {
    /// Why.
    pub fault: ControlFault,
    /// The same as a sentence that says what to do.
    pub text: String,
}

/// Makes the pages over a port.
pub(crate) fn pages<P: OperatorPort>(port: Arc<P>) -> impl Endpoint {
    Route::new()
        .at("/patches", post(PageEndpoint { port: port.clone(), page: Page::Submit }))
        .at("/config", get(PageEndpoint { port: port.clone(), page: Page::Config }))
        .at("/status", get(PageEndpoint { port: port.clone(), page: Page::Status }))
        .at("/upstreams", get(PageEndpoint { port: port.clone(), page: Page::Upstreams }))
        .at("/placers", get(PageEndpoint { port: port.clone(), page: Page::Placers }))
        .at("/members", get(PageEndpoint { port: port.clone(), page: Page::Members }))
        .at("/capacity", get(PageEndpoint { port, page: Page::Capacity }))
}

#[derive(Clone, Copy)]
enum Page {
    Submit,
    Config,
    Status,
    Upstreams,
    Placers,
    Members,
    Capacity,
}

struct PageEndpoint<P> {
    port: Arc<P>,
    page: Page,
}

impl<P: OperatorPort> Endpoint for PageEndpoint<P> {
    type Output = Response;

    async fn call(&self, mut request: Request) -> Result<Response> {
        let port = self.port.as_ref();
        Ok(match self.page {
            Page::Submit => submit(port, &mut request).await?,
            Page::Config => json(StatusCode::OK, &image(port)),
            Page::Status => json(StatusCode::OK, &port.status().await),
            Page::Upstreams => json(StatusCode::OK, &port.upstreams().await),
            Page::Placers => json(StatusCode::OK, &port.placers().await),
            Page::Members => json(StatusCode::OK, &port.members().await),
            Page::Capacity => json(StatusCode::OK, &port.capacity().await),
        })
    }
}

async fn submit<P: OperatorPort>(port: &P, request: &mut Request) -> Result<Response> {
    let patch: ConfigPatch = request.take_body().into_json().await?;
    let (id, base, author) = (patch.id, patch.base, patch.author.clone());
    match port.submit(patch).await {
        Ok(result) => {
            log::info!(id:%, base:%, author, accepted = result.is_ok(); "patch");
            let status = match &result {
                Ok(_) => StatusCode::OK,
                Err(PatchRefusal::Invalid { .. }) => StatusCode::UNPROCESSABLE_ENTITY,
                Err(_) => StatusCode::CONFLICT,
            };
            Ok(json(status, &PatchAnswer::from(result)))
        }
        Err(fault) => Ok(fault_answer(fault)),
    }
}

fn fault_answer(fault: ControlFault) -> Response {
    let text = fault.to_string();
    json(StatusCode::SERVICE_UNAVAILABLE, &FaultAnswer { fault, text })
}

fn image<P: OperatorPort>(port: &P) -> ConfigImage {
    port.config().to_image()
}

fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("reports have a JSON form");
    Response::builder().status(status).content_type("application/json").body(body)
}
