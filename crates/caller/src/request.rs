//! Reads a request into a call: its route, its deadline and its body, within limits.

use std::{net::IpAddr, sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode, Version, header, request::Parts};
use hyper::body::Incoming;
use model::{
    call::{CALLER_HEADER, CallRefusal, DEADLINE_HEADER, KEY_HEADER, RefusalReason},
    config::FleetConfig,
    ledger::CallKey,
    names::{CallerName, RouteName},
    numbers::CallNumber,
    route::RouteRule,
    slot::RequestFingerprint,
};
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::{
    answer::CallReject,
    body::CallBody,
    digest::fingerprint,
    headers::{asks_upgrade, has_looped, prepare},
    reader::ReadRules,
};

/// What the tries of one call have in common.
pub(crate) struct CallContext {
    pub(crate) number: CallNumber,
    pub(crate) route: RouteName,
    pub(crate) rule: Arc<RouteRule>,
    pub(crate) caller: CallerName,
    pub(crate) fingerprint: RequestFingerprint,
    /// The request's head as it goes to the upstream, without its deadline.
    pub(crate) parts: Parts,
    pub(crate) body: CallBody,
    pub(crate) until: Instant,
    /// Counts the call among those with a large body, as long as it lasts.
    _large: Option<OwnedSemaphorePermit>,
}

impl CallContext {
    pub(crate) fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Returns the time left in whole milliseconds, rounded down: a peer must not believe that it
    /// has longer than the call.
    pub(crate) fn left_ms(&self) -> u32 {
        u32::try_from(self.left().as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns the body of a call that was read as a whole.
    pub(crate) fn whole_body(&self) -> &[u8] {
        match &self.body {
            CallBody::Whole(body) => &body.data,
            CallBody::Streamed(_) => &[],
        }
    }
}

/// A request whose head was accepted.
pub(crate) struct RoutedCall {
    number: CallNumber,
    route: RouteName,
    rule: Arc<RouteRule>,
    until: Instant,
    parts: Parts,
}

impl RoutedCall {
    /// Checks a request's head and finds its route.
    ///
    /// # Errors
    ///
    /// Fails when the head breaks a rule or no route matches.
    pub(crate) fn open(
        number: CallNumber,
        parts: Parts,
        config: &FleetConfig,
    ) -> Result<Self, CallReject> {
        check_head(&parts)?;
        let (route, rule) = find_route(&parts, config)?;
        let allowed = deadline_of(&parts.headers)?.unwrap_or(rule.timeout_ms).min(rule.timeout_ms);
        if allowed == 0 {
            return Err(CallRefusal::lasting(RefusalReason::DeadlineTooShort).into());
        }
        let until = Instant::now() + Duration::from_millis(u64::from(allowed));
        Ok(Self { number, route, rule, until, parts })
    }

    /// Reads the body and completes the call.
    ///
    /// # Errors
    ///
    /// Fails when the body is too large or too slow for its class of call, or breaks off.
    pub(crate) async fn read(
        mut self,
        body: Incoming,
        peer: IpAddr,
        rules: &ReadRules,
    ) -> Result<CallContext, CallReject> {
        let (body, large) = rules.read(body, self.rule.class, self.until).await?;
        let start = match &body {
            CallBody::Whole(body) => body.data.clone(),
            CallBody::Streamed(_) => Default::default(),
        };
        let fingerprint = fingerprint(&self.rule.service, &self.parts, &start);
        let caller = caller_of(&self.parts.headers);
        prepare(&mut self.parts, peer);
        Ok(CallContext {
            number: self.number,
            route: self.route,
            rule: self.rule,
            caller,
            fingerprint,
            parts: self.parts,
            body,
            until: self.until,
            _large: large,
        })
    }
}

fn check_head(parts: &Parts) -> Result<(), CallReject> {
    let broken = |status, text| Err(CallReject::broken(status, text));
    if asks_upgrade(parts) {
        let text = "this proxy passes on requests only; it opens no tunnel and changes no protocol";
        return broken(StatusCode::NOT_IMPLEMENTED, text);
    }
    let hosts = parts.headers.get_all(header::HOST).iter().count();
    let needs_host = parts.version == Version::HTTP_11 && parts.uri.authority().is_none();
    if hosts > 1 || (needs_host && hosts == 0) {
        return broken(StatusCode::BAD_REQUEST, "send exactly one Host header");
    }
    if has_looped(&parts.headers) {
        return broken(StatusCode::LOOP_DETECTED, "the request goes round in a circle");
    }
    Ok(())
}

fn find_route(
    parts: &Parts,
    config: &FleetConfig,
) -> Result<(RouteName, Arc<RouteRule>), CallReject> {
    let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = parts.uri.authority().map(|authority| authority.as_str()).or(named);
    let found = config.find_route(host.unwrap_or(""), parts.uri.path(), parts.method.as_str());
    let (name, rule) = found.ok_or(CallRefusal::lasting(RefusalReason::NoRoute))?;
    Ok((name.clone(), rule.clone()))
}

fn deadline_of(headers: &HeaderMap) -> Result<Option<u32>, CallReject> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let text = "the deadline header must hold whole milliseconds";
    parsed.map(Some).ok_or(CallReject::broken(StatusCode::BAD_REQUEST, text))
}

/// Returns the key of a call, if there is exactly one and it is well formed.
pub(crate) fn key_of(headers: &HeaderMap) -> Option<CallKey> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let key = values.next()?.to_str().ok()?.parse().ok()?;
    values.next().is_none().then_some(key)
}

fn caller_of(headers: &HeaderMap) -> CallerName {
    let named = headers.get(CALLER_HEADER).and_then(|value| value.to_str().ok());
    let parsed = named.and_then(|name| name.parse().ok());
    parsed.unwrap_or_else(|| "anonymous".parse().expect("a valid name"))
}
