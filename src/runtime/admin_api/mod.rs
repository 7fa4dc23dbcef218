//! The HTTP API with which operators administer the system.

mod routes;

use std::{collections::BTreeMap, convert::Infallible, net::IpAddr, sync::Arc, time::Duration};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use warp::{
    Rejection,
    http::{HeaderMap, StatusCode, header},
    reply::{Reply, Response},
};

use super::{
    clock::Clock, control_client::ControlClient, gateway::Gateway, metrics::InstanceMetrics,
    view::View,
};
use crate::{
    core::{
        claims::ClaimEpoch,
        control::{
            Change, ChangeMeta, ChangeOutcome, ChangeRequest, Command, Outcome, PresetName,
            RegionName, Revision,
        },
        steering::LookUpResult,
    },
    net::{
        PeerAddr,
        wire::{QueryReply, QueryRequest},
    },
    settings::Settings,
};

/// Represents the response to a look-up.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LookUpResponse {
    /// The address block of the client.
    pub block: IpNet,
    /// The home region of the block.
    pub home: RegionName,
    /// The region that serves the block.
    pub region: RegionName,
    /// The entry instances to use, in order of preference.
    pub instances: Vec<InstanceAddress>,
    /// How long the response may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// The revision of the policy that the response is based on.
    pub revision: Revision,
    /// The epoch with which the keys of non-idempotent requests must begin.
    pub key_epoch: ClaimEpoch,
}

/// Represents an entry instance that a caller may use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceAddress {
    /// The name of the instance.
    pub name: String,
    /// The address at which callers reach it.
    pub address: String,
}

impl LookUpResponse {
    pub(super) fn new(look_up: LookUpResult, settings: &Settings, key_epoch: ClaimEpoch) -> Self {
        let instances = look_up.instances.into_iter().filter_map(|name| {
            let address = settings.instances.get(&name)?.caller_address.to_string();
            Some(InstanceAddress { name, address })
        });
        Self {
            block: look_up.block,
            home: look_up.home,
            region: look_up.region,
            instances: instances.collect(),
            ttl_ms: settings.topology.look_up_ttl.as_millis() as u64,
            revision: look_up.revision,
            key_epoch,
        }
    }
}

/// Represents the response to a change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangeResponse {
    /// The id of the change. A resend with the same id is not applied a second time.
    pub change_id: String,
    /// The outcome of the change.
    #[serde(flatten)]
    pub outcome: ChangeOutcome,
    /// Whether every live instance has the change in force; absent when the
    /// request has no `wait_ms`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_everywhere: Option<bool>,
    /// The instances that may still use an earlier version.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub lagging: Vec<String>,
}

/// Represents the administration API and the components of the instance that it uses.
#[derive(Clone)]
pub(super) struct AdminApi {
    pub(super) clock: Clock,
    pub(super) control: ControlClient,
    pub(super) view: View,
    pub(super) gateway: Gateway,
    pub(super) metrics: InstanceMetrics,
    /// The operators' names by their token.
    pub(super) tokens: Arc<BTreeMap<String, String>>,
}

#[derive(Deserialize)]
struct UsePresetBody {
    name: PresetName,
}

#[derive(Deserialize)]
struct WaitQuery {
    wait_ms: Option<u64>,
}

#[derive(Deserialize)]
struct ClientQuery {
    client: String,
}

#[derive(Serialize)]
struct ApiError {
    error: &'static str,
    message: String,
}

const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The limit on `wait_ms`, the wait until a change is in force everywhere.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// The largest body of a request; a change of many blocks is the largest.
const BODY_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Represents the sender of a request: the operator's name, the IP address and the
/// headers of the request.
struct Requester {
    actor: String,
    origin: String,
    headers: HeaderMap,
}

impl AdminApi {
    /// Returns the sender of a request, or `None` if its token is missing or
    /// unknown.
    fn requester(&self, headers: HeaderMap, PeerAddr(peer): PeerAddr) -> Option<Requester> {
        let token = headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")?;
        // Compares all tokens, each in constant time, so that the duration
        // reveals nothing about them.
        let mut actor = None;
        for (known_token, name) in self.tokens.iter() {
            if bool::from(known_token.as_bytes().ct_eq(token.as_bytes())) {
                actor = Some(name.clone());
            }
        }
        Some(Requester { actor: actor?, origin: peer.ip().to_string(), headers })
    }

    fn look_up(&self, client: &str) -> Response {
        let Ok(client) = client.parse::<IpAddr>() else {
            let message = format!("`client` is `{client}`; give an IP address");
            return api_error(StatusCode::BAD_REQUEST, "bad_client", message);
        };
        match self.gateway.look_up_address(client) {
            Ok(response) => warp::reply::json(&response).into_response(),
            Err(problem) => problem.into_response(),
        }
    }

    async fn query(&self, request: QueryRequest) -> Response {
        match self.control.query(&request, QUERY_TIMEOUT).await {
            Some(QueryReply::Status(status)) => warp::reply::json(&status).into_response(),
            Some(QueryReply::Presets(presets)) => warp::reply::json(&presets).into_response(),
            Some(QueryReply::Audit(records)) => warp::reply::json(&records).into_response(),
            _ => {
                let message = "no control replica could make sure that it leads; nothing is \
                               shown rather than something old. Try again";
                api_error(StatusCode::SERVICE_UNAVAILABLE, "no_leader", message.to_owned())
            }
        }
    }

    /// Submits a change to the leader and returns its outcome.
    async fn submit_change(
        &self,
        requester: Requester,
        change: Change,
        wait: WaitQuery,
    ) -> Response {
        let meta = match self.meta(&requester) {
            Ok(meta) => meta,
            Err(response) => return *response,
        };
        let change_id = meta.change_id.clone();
        let command = Command::Change(ChangeRequest { change, meta });
        let outcome = match self.control.submit(command, CHANGE_TIMEOUT).await {
            Ok(Outcome::Change(outcome)) => outcome,
            Ok(_) => {
                let message = "the control replicas answered something else".to_owned();
                return api_error(StatusCode::BAD_GATEWAY, "internal", message);
            }
            Err(error) => {
                let message = format!(
                    "{error}; send the change again with `X-Change-Id: {change_id}`, and it is \
                     made once at most"
                );
                return api_error(StatusCode::SERVICE_UNAVAILABLE, "not_known", message);
            }
        };
        self.change_response(change_id, outcome, wait).await
    }

    fn meta(&self, requester: &Requester) -> Result<ChangeMeta, Box<Response>> {
        let header = |name: &str| requester.headers.get(name).and_then(|value| value.to_str().ok());
        let bad_header = |message: &str| {
            Box::new(api_error(StatusCode::BAD_REQUEST, "bad_header", message.to_owned()))
        };
        let change_id = header("x-change-id").filter(|id| !id.is_empty() && id.len() <= 128);
        let change_id = change_id.ok_or_else(|| {
            bad_header(
                "`X-Change-Id` is missing; choose an id of up to 128 characters and keep it for \
                 resends",
            )
        })?;
        let revision = header("x-expected-revision").and_then(|text| text.parse().ok());
        let expected_revision = revision.ok_or_else(|| {
            bad_header("`X-Expected-Revision` is missing; give the revision that you saw")
        })?;
        Ok(ChangeMeta {
            change_id: change_id.to_owned(),
            expected_revision,
            actor: requester.actor.clone(),
            origin: requester.origin.clone(),
            at_unix_ms: self.clock.unix_ms(),
        })
    }

    async fn change_response(
        &self,
        change_id: String,
        outcome: ChangeOutcome,
        wait: WaitQuery,
    ) -> Response {
        let status = match &outcome {
            ChangeOutcome::Accepted { .. } => StatusCode::OK,
            ChangeOutcome::Conflict { .. } => StatusCode::CONFLICT,
            ChangeOutcome::Rejected { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        };
        let mut body =
            ChangeResponse { change_id, outcome, in_force_everywhere: None, lagging: Vec::new() };
        if let (ChangeOutcome::Accepted { version, .. }, Some(wait_ms)) =
            (&body.outcome, wait.wait_ms)
        {
            let timeout = Duration::from_millis(wait_ms).min(WAIT_MAX);
            let lagging = self.control.wait_in_force(*version, timeout).await;
            body.in_force_everywhere = Some(lagging.as_ref().is_some_and(Vec::is_empty));
            body.lagging = lagging.unwrap_or_default();
        }
        let mut response = warp::reply::json(&body).into_response();
        *response.status_mut() = status;
        response
    }
}

fn unauthorized() -> Response {
    let message = "the bearer token is missing or unknown; send one of the operators' tokens";
    api_error(StatusCode::UNAUTHORIZED, "unauthorized", message.to_owned())
}

fn api_error(status: StatusCode, error: &'static str, message: String) -> Response {
    let mut response = warp::reply::json(&ApiError { error, message }).into_response();
    *response.status_mut() = status;
    response
}

/// The reason for rejecting a request without the token of an operator.
#[derive(Debug)]
struct Unauthorized;

impl warp::reject::Reject for Unauthorized {}

async fn handle_rejection(rejection: Rejection) -> Result<Response, Infallible> {
    if rejection.is_not_found() {
        let message = "there is no such path; docs/OPERATIONS.md lists them".to_owned();
        return Ok(api_error(StatusCode::NOT_FOUND, "no_such_path", message));
    }
    if rejection.find::<Unauthorized>().is_some() {
        return Ok(unauthorized());
    }
    if let Some(error) = rejection.find::<warp::filters::body::BodyDeserializeError>() {
        return Ok(api_error(StatusCode::BAD_REQUEST, "bad_body", error.to_string()));
    }
    let message = "the request is not in the form that this path takes".to_owned();
    Ok(api_error(StatusCode::BAD_REQUEST, "bad_request", message))
}
