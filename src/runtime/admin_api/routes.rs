//! The routes of the administration API.

use std::{collections::BTreeMap, convert::Infallible, future::Future};

use ipnet::IpNet;
use warp::{
    Filter, Rejection,
    http::{HeaderMap, StatusCode},
    reply::{Reply, Response},
};

use super::{
    AdminApi, BODY_MAX_BYTES, ClientQuery, Requester, Unauthorized, UsePresetBody, WaitQuery,
    handle_rejection, unauthorized,
};
use crate::{
    core::control::{AuditFilter, Change, Preset, RegionName},
    net::{PeerAddr, wire::QueryRequest},
};

impl AdminApi {
    /// Returns all routes of the API.
    pub(in crate::runtime) fn routes(
        self,
    ) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
        let open_routes = self.clone().open_routes();
        let read_routes = self.clone().read_routes();
        let change_routes = self.change_routes();
        open_routes
            .or(read_routes)
            .unify()
            .or(change_routes)
            .unify()
            .recover(handle_rejection)
            .unify()
    }

    /// Returns the routes that need no token: health, readiness and metrics.
    fn open_routes(self) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
        let health = warp::path!("health").map(|| warp::reply().into_response());
        let view = self.view.clone();
        let ready = warp::path!("ready").map(move || {
            let status =
                if view.has_lease() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            status.into_response()
        });
        let metrics = self.metrics.clone();
        let metrics = warp::path!("metrics").map(move || metrics.text().into_response());
        warp::get().and(health.or(ready).unify().or(metrics).unify())
    }

    fn read_routes(self) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
        let status = self
            .authorized(warp::path!("v1" / "status").and(warp::get()), |api, _| async move {
                api.query(QueryRequest::Status).await
            });
        let presets = self
            .authorized(warp::path!("v1" / "presets").and(warp::get()), |api, _| async move {
                api.query(QueryRequest::Presets).await
            });
        let audit = self.authorized_with(
            warp::path!("v1" / "audit").and(warp::get()).and(warp::query::<AuditFilter>()),
            |api, _, filter| async move { api.query(QueryRequest::Audit(filter)).await },
        );
        let look_up = self.authorized_with(
            warp::path!("v1" / "lookup").and(warp::get()).and(warp::query::<ClientQuery>()),
            |api, _, query: ClientQuery| async move { api.look_up(&query.client) },
        );
        status.or(presets).unify().or(audit).unify().or(look_up).unify()
    }

    fn change_routes(self) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
        let put_preset = self.change(
            warp::path!("v1" / "presets" / String)
                .and(warp::put())
                .and(self.operators_only())
                .and(warp::body::content_length_limit(BODY_MAX_BYTES))
                .and(warp::body::json())
                .map(|name, preset: Preset| Change::PutPreset { name, preset }),
        );
        let use_preset = self.change(
            warp::path!("v1" / "preset-in-force")
                .and(warp::put())
                .and(self.operators_only())
                .and(warp::body::content_length_limit(BODY_MAX_BYTES))
                .and(warp::body::json())
                .map(|body: UsePresetBody| Change::UsePreset { name: body.name }),
        );
        let drain = self.change(
            warp::path!("v1" / "upstreams" / String / "drain")
                .and(warp::post())
                .map(|upstream| Change::DrainUpstream { upstream }),
        );
        let restore = self.change(
            warp::path!("v1" / "upstreams" / String / "restore")
                .and(warp::post())
                .map(|upstream| Change::RestoreUpstream { upstream }),
        );
        let leave = self.change(
            warp::path!("v1" / "instances" / String / "leave")
                .and(warp::post())
                .map(|instance| Change::LeaveInstance { instance }),
        );
        let join = self.change(
            warp::path!("v1" / "instances" / String / "join")
                .and(warp::post())
                .map(|instance| Change::JoinInstance { instance }),
        );
        let blocks = self.change(
            warp::path!("v1" / "blocks")
                .and(warp::put())
                .and(self.operators_only())
                .and(warp::body::content_length_limit(BODY_MAX_BYTES))
                .and(warp::body::json())
                .map(|blocks: BTreeMap<IpNet, RegionName>| Change::PutBlocks {
                    blocks: blocks.into_iter().collect(),
                }),
        );
        put_preset
            .or(use_preset)
            .unify()
            .or(drain)
            .unify()
            .or(restore)
            .unify()
            .or(leave)
            .unify()
            .or(join)
            .unify()
            .or(blocks)
            .unify()
    }

    /// Passes on requests that carry the token of an operator, before their bodies are read.
    fn operators_only(&self) -> impl Filter<Extract = (), Error = Rejection> + Clone + use<> {
        let api = self.clone();
        warp::header::headers_cloned()
            .and(warp::ext::get::<PeerAddr>())
            .and_then(move |headers: HeaderMap, peer: PeerAddr| {
                let is_operator = api.requester(headers, peer).is_some();
                async move {
                    if is_operator { Ok(()) } else { Err(warp::reject::custom(Unauthorized)) }
                }
            })
            .untuple_one()
    }

    /// Runs `run` for requests to `route` that carry the token of an operator, and
    /// refuses others.
    fn authorized<F, R, Fut>(
        &self,
        route: F,
        run: R,
    ) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<F, R, Fut>
    where
        F: Filter<Extract = (), Error = Rejection> + Clone + Send + Sync + 'static,
        R: Fn(Self, Requester) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response> + Send + 'static,
    {
        self.authorized_with(route.map(|| ()), move |api, requester, ()| run(api, requester))
    }

    fn authorized_with<F, T, R, Fut>(
        &self,
        route: F,
        run: R,
    ) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<F, T, R, Fut>
    where
        F: Filter<Extract = (T,), Error = Rejection> + Clone + Send + Sync + 'static,
        T: Send + 'static,
        R: Fn(Self, Requester, T) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response> + Send + 'static,
    {
        let api = self.clone();
        route.and(warp::header::headers_cloned()).and(warp::ext::get::<PeerAddr>()).then(
            move |value: T, headers: HeaderMap, peer: PeerAddr| {
                let (api, run) = (api.clone(), run.clone());
                async move {
                    match api.requester(headers, peer) {
                        Some(requester) => run(api, requester, value).await,
                        None => unauthorized(),
                    }
                }
            },
        )
    }

    fn change<F>(
        &self,
        route: F,
    ) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<F>
    where
        F: Filter<Extract = (Change,), Error = Rejection> + Clone + Send + Sync + 'static,
    {
        let with_wait = route
            .and(warp::query::<WaitQuery>())
            .map(|change: Change, wait: WaitQuery| (change, wait));
        self.authorized_with(with_wait, |api, requester, (change, wait)| async move {
            api.submit_change(requester, change, wait).await
        })
    }
}
