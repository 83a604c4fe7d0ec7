//! What operators may look at.

use std::{str::FromStr, sync::Arc, time::Duration};

use crate::answers::{
    MalformedSnafu, NotFoundSnafu, PageFault, ServiceDetail, ServiceRow, WatchAnswer, ok,
};
use model::{config::FleetConfig, names::ServiceName, numbers::ConfigNumber, ports::OperatorPort};
use poem::{Request, Response};
use serde::{Deserialize, de::DeserializeOwned, de::IntoDeserializer, de::value};
use snafu::OptionExt;

/// The most patches listed at once.
const HISTORY_LIMIT: u32 = 1_000;

/// How many patches are listed where the request does not say.
const HISTORY_DEFAULT: u32 = 50;

/// The longest wait of a watch, in milliseconds. It stays well under the time after which an idle
/// connection is closed, so a watch always ends by an answer.
pub const WATCH_LIMIT_MS: u64 = 25_000;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct HistoryQuery {
    #[serde(default)]
    after: u64,
    #[serde(default = "history_default")]
    limit: u32,
}

fn history_default() -> u32 {
    HISTORY_DEFAULT
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct WatchQuery {
    #[serde(default)]
    after: u64,
    #[serde(default = "watch_default")]
    wait_ms: u64,
}

fn watch_default() -> u64 {
    WATCH_LIMIT_MS
}

/// Reads a part of the path.
pub(crate) fn param<T: DeserializeOwned>(
    request: &Request,
    name: &'static str,
    advice: &'static str,
) -> Result<T, PageFault> {
    let text = request.raw_path_param(name).unwrap_or_default();
    let read = T::deserialize(text.into_deserializer());
    read.map_err(|error: value::Error| {
        let reason = format!("{text:?} in the path: {error}");
        MalformedSnafu { what: name, reason, advice }.build()
    })
}

/// Reads a number in the path.
pub(crate) fn number_param<T: FromStr>(
    request: &Request,
    name: &'static str,
    advice: &'static str,
) -> Result<T, PageFault> {
    let text = request.raw_path_param(name).unwrap_or_default();
    let reason = format!("{text:?} in the path is no number");
    text.parse().ok().context(MalformedSnafu { what: name, reason, advice })
}

fn query<T: DeserializeOwned>(request: &Request, advice: &'static str) -> Result<T, PageFault> {
    request.params().map_err(|error| {
        MalformedSnafu { what: "the query", reason: error.to_string(), advice }.build()
    })
}

pub(crate) async fn config<P: OperatorPort>(
    port: Arc<P>,
    _: Request,
) -> Result<Response, PageFault> {
    Ok(ok(&port.config().to_image()))
}

pub(crate) async fn history<P: OperatorPort>(
    port: Arc<P>,
    request: Request,
) -> Result<Response, PageFault> {
    let query: HistoryQuery = query(&request, "give after=NUMBER and limit=NUMBER")?;
    let limit = query.limit.min(HISTORY_LIMIT);
    Ok(ok(&port.history(ConfigNumber(query.after), limit).await?))
}

/// Answers as soon as a later configuration is in force, or with the present one at the end of the
/// wait, so that a watch costs one request every 25 s and holds nothing for longer.
pub(crate) async fn watch<P: OperatorPort>(
    port: Arc<P>,
    request: Request,
) -> Result<Response, PageFault> {
    let query: WatchQuery = query(&request, "give after=NUMBER and wait-ms=NUMBER")?;
    let after = ConfigNumber(query.after);
    let wait = Duration::from_millis(query.wait_ms.min(WATCH_LIMIT_MS));
    let later = tokio::time::timeout(wait, port.config_after(after)).await;
    let config = later.unwrap_or_else(|_| port.config());
    let number = config.number();
    Ok(ok(&WatchAnswer { number, digest: config.digest(), changed: number > after }))
}

pub(crate) async fn services<P: OperatorPort>(
    port: Arc<P>,
    _: Request,
) -> Result<Response, PageFault> {
    let config = port.config();
    let rows = config.services().map(|(service, rule)| ServiceRow {
        service: service.clone(),
        rule: rule.as_ref().clone(),
        routes: u32::try_from(routes_of(&config, service).count()).unwrap_or(u32::MAX),
    });
    Ok(ok(&rows.collect::<Vec<_>>()))
}

pub(crate) async fn service<P: OperatorPort>(
    port: Arc<P>,
    request: Request,
) -> Result<Response, PageFault> {
    let service: ServiceName = param(&request, "service", "give a name of GET /services")?;
    let config = port.config();
    let advice = "GET /services lists them";
    let missing = NotFoundSnafu { kind: "service", name: service.as_str(), advice };
    let rule = config.service(&service).context(missing)?.as_ref().clone();
    let routes = routes_of(&config, &service);
    let routes = routes.map(|(name, rule)| (name.clone(), rule.as_ref().clone())).collect();
    let mut upstreams = port.upstreams().await;
    upstreams.retain(|row| row.service == service);
    let mut capacity = port.capacity().await;
    capacity.retain(|row| row.service == service);
    Ok(ok(&ServiceDetail { service, rule, routes, upstreams, capacity }))
}

fn routes_of<'a>(
    config: &'a FleetConfig,
    service: &'a ServiceName,
) -> impl Iterator<Item = (&'a model::names::RouteName, &'a Arc<model::route::RouteRule>)> {
    config.routes().filter(move |(_, rule)| rule.service == *service)
}

pub(crate) async fn status<P: OperatorPort>(
    port: Arc<P>,
    _: Request,
) -> Result<Response, PageFault> {
    Ok(ok(&port.status().await))
}

pub(crate) async fn upstreams<P: OperatorPort>(
    port: Arc<P>,
    _: Request,
) -> Result<Response, PageFault> {
    Ok(ok(&port.upstreams().await))
}

pub(crate) async fn placers<P: OperatorPort>(
    port: Arc<P>,
    _: Request,
) -> Result<Response, PageFault> {
    Ok(ok(&port.placers().await))
}

pub(crate) async fn members<P: OperatorPort>(
    port: Arc<P>,
    _: Request,
) -> Result<Response, PageFault> {
    Ok(ok(&port.members().await))
}

pub(crate) async fn capacity<P: OperatorPort>(
    port: Arc<P>,
    _: Request,
) -> Result<Response, PageFault> {
    Ok(ok(&port.capacity().await))
}
