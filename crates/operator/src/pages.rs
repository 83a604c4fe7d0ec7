//! Which path is answered by what.

use std::{future::Future, sync::Arc};

use crate::{
    answers::{InternalSnafu, NoSuchMethodSnafu, NoSuchPageSnafu, PageFault},
    duties, patches, reads,
};
use model::ports::OperatorPort;
use poem::{
    Endpoint, EndpointExt, Request, Response, Route,
    error::{MethodNotAllowedError, NotFoundError},
    get, post,
};

pub use crate::answers::PatchAnswer;

/// Makes the pages over a port. Whatever fails, the answer is JSON of the one shape.
pub(crate) fn pages<P: OperatorPort>(port: &Arc<P>) -> impl Endpoint<Output = Response> + use<P> {
    let routes = Route::new()
        .at("/patches", post(page(port, patches::submit)))
        .at("/patches/check", post(page(port, patches::check)))
        .at("/patches/:id", get(page(port, patches::show)))
        .at("/config", get(page(port, reads::config)))
        .at("/config/history", get(page(port, reads::history)))
        .at("/config/watch", get(page(port, reads::watch)))
        .at("/services", get(page(port, reads::services)))
        .at("/services/:service", get(page(port, reads::service)))
        .at("/status", get(page(port, reads::status)))
        .at("/upstreams", get(page(port, reads::upstreams)))
        .at("/placers", get(page(port, reads::placers)))
        .at("/members", get(page(port, reads::members)))
        .at("/members/:member/drain", post(page(port, duties::drain)))
        .at("/capacity", get(page(port, reads::capacity)))
        .at("/control", get(page(port, duties::control)))
        .at("/control/:group/replicas", post(page(port, duties::change_replicas)))
        .at("/control/:group/snapshot", post(page(port, duties::snapshot)));
    routes.around(|routes, request| async move {
        let path = request.uri().path().to_owned();
        let answered = routes.call(request).await;
        Ok(answered.unwrap_or_else(|error| unserved(path, &error).into_response()))
    })
}

fn page<P, F, R>(port: &Arc<P>, run: F) -> impl Endpoint<Output = Response> + use<P, F, R>
where
    P: OperatorPort,
    F: Fn(Arc<P>, Request) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response, PageFault>> + Send + 'static,
{
    let port = port.clone();
    poem::endpoint::make(move |request| {
        let answer = run(port.clone(), request);
        async move { answer.await.unwrap_or_else(PageFault::into_response) }
    })
}

fn unserved(path: String, error: &poem::Error) -> PageFault {
    if error.is::<NotFoundError>() {
        NoSuchPageSnafu { path }.build()
    } else if error.is::<MethodNotAllowedError>() {
        NoSuchMethodSnafu { path }.build()
    } else {
        InternalSnafu { reason: error.to_string() }.build()
    }
}
