//! Tests of the commands that change the control state, and of sessions.

use std::{collections::BTreeMap, time::Duration};

use bulrushspan::{
    core::{
        control::{
            AuditFilter, Change, ChangeMeta, ChangeOutcome, ChangeRequest, Command, ControlLimits,
            ControlState, Holder, InitialPolicy, LoadReport, Outcome, Policy, Preset, Region,
            Session, Sessions, SessionsConfig, ShiftRule, Topology,
        },
        steering::Layout,
    },
    net::wire::{PolicyUpdate, decode, encode},
    platform::configuration,
};
use serde_json::json;

/// Returns a preset that sends `south_permille` of the callers of `north` to
/// `south`.
fn preset(south_permille: u32) -> Preset {
    let row = BTreeMap::from([
        ("north".to_owned(), 1000_u32.saturating_sub(south_permille)),
        ("south".to_owned(), south_permille),
    ]);
    let shares = BTreeMap::from([
        ("north".to_owned(), row),
        ("south".to_owned(), [("south".to_owned(), 1000)].into()),
    ]);
    let shift = ShiftRule { cap_permille: 50, interval_ms: 1_000, headroom_permille: 0 };
    Preset { shares, shift }
}

fn topology() -> Topology {
    let regions = ["north", "south"].map(|name| (name.to_owned(), Region::default()));
    Topology { regions: regions.into(), ..Topology::default() }
}

fn seeded_state() -> ControlState {
    let mut state = ControlState::new();
    seed(&mut state);
    state
}

/// Applies the command that sets the initial policy.
fn seed(state: &mut ControlState) {
    let initial = InitialPolicy {
        presets: vec![("ordinary".to_owned(), preset(0)), ("peak".to_owned(), preset(300))],
        in_force: "ordinary".to_owned(),
        blocks: Vec::new(),
    };
    state.apply(Command::Seed(initial), &topology(), &ControlLimits::default());
}

fn change(
    state: &mut ControlState,
    id: &str,
    expected_revision: u64,
    change: Change,
) -> ChangeOutcome {
    let meta = ChangeMeta {
        change_id: id.to_owned(),
        expected_revision,
        actor: "ada".to_owned(),
        origin: "127.0.0.1".to_owned(),
        at_unix_ms: 7,
    };
    let command = Command::Change(ChangeRequest { change, meta });
    match state.apply(command, &topology(), &ControlLimits::default()) {
        Outcome::Change(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

fn use_preset(name: &str) -> Change {
    Change::UsePreset { name: name.to_owned() }
}

#[test]
fn a_change_applies_once_and_only_to_the_expected_revision() {
    let mut state = seeded_state();
    let outcomes = [
        change(&mut state, "a", 1, use_preset("peak")),
        change(&mut state, "b", 1, use_preset("ordinary")),
        change(&mut state, "a", 1, use_preset("peak")),
        change(&mut state, "a", 2, use_preset("ordinary")),
        change(&mut state, "c", 2, use_preset("nothing")),
        change(
            &mut state,
            "d",
            2,
            Change::PutPreset { name: "p".to_owned(), preset: preset(2000) },
        ),
    ];
    insta::assert_debug_snapshot!("told", outcomes);
    insta::assert_debug_snapshot!("audit", AuditFilter::default().select(state.audit()));
}

#[test]
fn a_resent_change_gets_its_first_outcome_after_a_snapshot() {
    let mut state = seeded_state();
    let first_outcome = change(&mut state, "a", 1, use_preset("peak"));
    let encoded = bulrushspan::net::wire::encode(&state).unwrap();
    let mut restored_state: ControlState = bulrushspan::net::wire::decode(&encoded).unwrap();
    assert_eq!(change(&mut restored_state, "a", 1, use_preset("peak")), first_outcome);
}

#[test]
fn a_step_beyond_the_cap_is_not_applied() {
    let mut state = seeded_state();
    change(&mut state, "a", 1, use_preset("peak"));
    for (points, is_applied) in [(51, false), (50, true)] {
        let previous_layout = state.policy().layouts["north"].clone();
        let row = previous_layout.with_moved(&"north".to_owned(), &"south".to_owned(), points);
        let step = state.policy().shift_step + 1;
        let rows: BTreeMap<String, Layout> = [("north".to_owned(), row)].into();
        let command = Command::Shift { step, in_force: "peak".to_owned(), rows };
        state.apply(command, &topology(), &ControlLimits::default());
        assert_eq!(
            state.policy().layouts["north"] != previous_layout,
            is_applied,
            "{points} points"
        );
    }
    let stale_command =
        Command::Shift { step: 2, in_force: "ordinary".to_owned(), rows: BTreeMap::new() };
    state.apply(stale_command, &topology(), &ControlLimits::default());
    assert_eq!(state.policy().shift_step, 1);
}

#[test]
fn a_session_lags_until_it_reports_the_version_and_expires_after_its_lease() {
    let config =
        SessionsConfig { lease: Duration::from_secs(3), drift_margin: Duration::from_millis(300) };
    let mut sessions = Sessions::new(config, Duration::ZERO);
    let holder = Holder::new("i1", 1);
    let session = Session {
        granted_at: Duration::from_secs(5),
        version: 4,
        stopping: false,
        load: LoadReport::default(),
    };
    sessions.record_grant(holder.clone(), session);
    let now = Duration::from_secs(6);
    assert!(sessions.lagging(5, now).contains("i1"));
    sessions.record_version(&holder, 5);
    assert!(sessions.lagging(5, now).is_empty());
    // Granted at 5 s, with a lease of 3 s and a drift margin of 0.3 s.
    assert!(!sessions.is_expired(&holder, Duration::from_millis(8_300)));
    assert!(sessions.is_expired(&holder, Duration::from_millis(8_301)));
}

// Commands are encoded before they are sent to the leader.
#[test]
fn a_change_of_blocks_survives_encoding() {
    let blocks = vec![
        ("10.9.0.0/16".parse().unwrap(), "south".to_owned()),
        ("2001:db8::/32".parse().unwrap(), "north".to_owned()),
    ];
    let meta = ChangeMeta {
        change_id: "a".to_owned(),
        expected_revision: 1,
        actor: "ada".to_owned(),
        origin: "127.0.0.1".to_owned(),
        at_unix_ms: 7,
    };
    let command = Command::Change(ChangeRequest { change: Change::PutBlocks { blocks }, meta });
    let encoded = bulrushspan::net::wire::encode(&command).unwrap();
    let decoded: Command = bulrushspan::net::wire::decode(&encoded).unwrap();
    assert_eq!(decoded, command);
}

fn evacuate(state: &mut ControlState, evacuated: bool, expected_orders: Option<u64>) -> Outcome {
    let command = Command::Evacuate { zone: "a".to_owned(), evacuated, expected_orders };
    state.apply(command, &topology(), &ControlLimits::default())
}

/// An evacuation order that was committed late reverted the orders accepted since it was read.
#[test]
fn an_evacuation_order_does_not_revert_orders_that_were_accepted_after_it_was_read() {
    let accepted = |orders| Outcome::Evacuation { accepted: true, orders };
    let ignored = |orders| Outcome::Evacuation { accepted: false, orders };
    let mut state = seeded_state();
    assert_eq!(evacuate(&mut state, true, Some(0)), accepted(1));
    // What was read when there was one order is late once there are three.
    assert_eq!(evacuate(&mut state, false, Some(1)), accepted(2));
    assert_eq!(evacuate(&mut state, true, Some(2)), accepted(3));
    assert_eq!(evacuate(&mut state, false, Some(1)), ignored(3));
    assert!(state.policy().evacuated.contains("a"));
    // An order that is sent again is acknowledged again.
    assert_eq!(evacuate(&mut state, true, Some(2)), accepted(4));
    // An order that changes nothing outdates those before it as well.
    assert_eq!(evacuate(&mut state, false, Some(3)), ignored(4));
    assert_eq!(evacuate(&mut state, false, Some(4)), accepted(5));
    assert!(state.policy().evacuated.is_empty());
}

/// Logs and snapshots of versions that did not count orders must stay readable.
#[test]
fn evacuation_orders_of_earlier_versions_are_accepted() {
    let stored = rmp_serde::to_vec_named(&serde_json::json!({
        "Evacuate": { "zone": "a", "evacuated": true },
    }));
    let command: Command = rmp_serde::from_slice(&stored.unwrap()).unwrap();
    let mut state = seeded_state();
    let outcome = state.apply(command, &topology(), &ControlLimits::default());
    assert_eq!(outcome, Outcome::Evacuation { accepted: true, orders: 1 });
}

/// Puts a configuration in force whose routes all have the same timeout.
fn put_routes(
    state: &mut ControlState,
    limits: &ControlLimits,
    version: u32,
    routes: u32,
    timeout_s: f64,
) {
    let mut resources = vec![json!({"type": "services", "meta": {"name": "desk"}, "spec": {
        "health_path": "/health", "max_conns": 100, "cold_start_s": 0.0, "cold_per_s": 5.0}})];
    resources.extend((0..routes).map(|route| {
        json!({"type": "routes", "meta": {"name": format!("r-{route}")}, "spec": {
            "host": "shop.example", "path_prefix": format!("/{route}/"), "kind": "safe",
            "timeout_s": timeout_s, "slo_s": 0.6, "priority": 1, "service": "desk",
            "max_attempts": 1}})
    }));
    let body = json!({"version": format!("r{version}"), "resources": resources}).to_string();
    let table = configuration::decode(body.as_bytes()).unwrap();
    state.apply(Command::Routing(Box::new(table)), &topology(), limits);
}

/// Returns the update that a follower with this policy gets, and applies it.
fn update(state: &mut ControlState, follower: &mut Policy) -> PolicyUpdate {
    let update = match state.deltas_after(follower.version) {
        Some(deltas) => PolicyUpdate::Deltas(deltas),
        None => PolicyUpdate::Whole(Box::new(state.policy().clone())),
    };
    match &update {
        PolicyUpdate::Deltas(deltas) => deltas.iter().for_each(|delta| {
            assert!(follower.apply_delta(delta));
        }),
        PolicyUpdate::Whole(whole) => follower.clone_from(whole),
    }
    update
}

/// A follower without a policy got every delta that was kept, 40 MB instead of 0.3 MB, which is
/// more than it accepts, and so no configuration at all.
#[test]
fn a_follower_gets_the_cheaper_of_the_missing_deltas_and_the_whole_policy() {
    let limits = ControlLimits::default();
    let (mut state, mut followers) = (seeded_state(), vec![Policy::default()]);
    for version in 1..=30 {
        followers.push(state.policy().clone());
        // At first, each configuration changes all routes; from the 21st on, one route.
        let routes = if version > 20 { 300 - version % 2 } else { 300 };
        put_routes(&mut state, &limits, version, routes, f64::from(version.min(20)));
    }
    let whole = PolicyUpdate::Whole(Box::new(state.policy().clone()));
    let whole_bytes = encode(&whole).unwrap().len();
    for mut follower in followers {
        let version = follower.version;
        let update = update(&mut state, &mut follower);
        let update_bytes = encode(&update).unwrap().len();
        assert!(update_bytes <= whole_bytes, "{update_bytes} bytes after version {version}");
        let has_deltas = matches!(update, PolicyUpdate::Deltas(_));
        assert_eq!(has_deltas, version >= 21, "after version {version}: {update_bytes} bytes");
        assert_eq!(follower, *state.policy());
    }
}

#[test]
fn the_deltas_that_are_kept_have_a_limit_in_bytes() {
    let limits = ControlLimits { deltas_max_bytes: 4_000, ..ControlLimits::default() };
    let mut state = seeded_state();
    put_routes(&mut state, &limits, 1, 50, 0.5);
    for version in 2..400 {
        let before = state.policy().version;
        // Some configurations are longer than the limit.
        let timeout_s = f64::from(version / 100 + 1);
        put_routes(&mut state, &limits, version, 300 + version % 2, timeout_s);
        let kept_bytes = state.deltas_bytes();
        assert!(kept_bytes <= limits.deltas_max_bytes, "{kept_bytes} bytes");
        assert_eq!(state.deltas_after(before).is_none(), version == 2 || version % 100 == 0);
    }
    assert!(state.deltas_bytes() > limits.deltas_max_bytes / 2);
}

/// Any change of the policy, such as a recorded crash, was taken for the initial policy, which was
/// then never set.
#[test]
fn the_initial_policy_is_set_after_other_changes_and_before_those_of_operators() {
    let mut state = ControlState::new();
    let early = change(&mut state, "early", 0, use_preset("peak"));
    assert!(matches!(early, ChangeOutcome::Rejected { revision: 0, .. }), "{early:?}");
    let suspect =
        Command::Suspect { fingerprint: "f".to_owned(), upstream: "u1".to_owned(), at_unix_ms: 1 };
    state.apply(suspect, &topology(), &ControlLimits::default());
    seed(&mut state);
    assert_eq!(state.policy().in_force, "ordinary");
    // The outcome of the rejected change is not kept, so that it can be sent again.
    let accepted = change(&mut state, "early", 1, use_preset("peak"));
    assert!(matches!(accepted, ChangeOutcome::Accepted { revision: 2, .. }), "{accepted:?}");
    seed(&mut state);
    assert_eq!(state.policy().in_force, "peak");
}

/// Version 0 was taken for no configuration: it was acknowledged, and neither put in force nor
/// read back.
#[test]
fn a_first_configuration_of_version_0_is_in_force_until_a_higher_one() {
    let limits = ControlLimits::default();
    let mut state = ControlState::new();
    let mut follower = Policy::default();
    for (version, routes, routes_in_force) in
        [(0, 3, 3), (0, 5, 3), (4, 5, 5), (0, 3, 5), (4, 3, 5), (7, 2, 2)]
    {
        put_routes(&mut state, &limits, version, routes, 0.5);
        let in_force = &state.policy().routing;
        assert_eq!(in_force.routes.len(), routes_in_force, "r{version} with {routes} routes");
        let read = configuration::decode(&configuration::encode(in_force).unwrap()).unwrap();
        assert_eq!(read, **in_force);

        let snapshot: ControlState = decode(&encode(&state).unwrap()).unwrap();
        assert_eq!(snapshot.policy(), state.policy());
        update(&mut state, &mut follower);
        assert_eq!(follower, *state.policy());
    }
}

/// Replicas and instances that stored or sent version 0 meant that there was no configuration.
#[test]
fn version_0_of_earlier_builds_is_no_configuration() {
    let mut stored = serde_json::to_value(ControlState::new()).unwrap();
    stored["policy"]["routing"]["version"] = json!(0);
    let mut state: ControlState = decode(&encode(&stored).unwrap()).unwrap();
    assert_eq!(state, ControlState::new());
    assert_eq!(encode(&state).unwrap(), encode(&ControlState::new()).unwrap());
    // Earlier builds kept nothing of a delivered version 0, so that a replica that reads one in
    // their log must not put it in force.
    let earlier = serde_json::from_value(stored["policy"]["routing"].clone()).unwrap();
    state.apply(Command::Routing(earlier), &topology(), &ControlLimits::default());
    assert_eq!(state, ControlState::new());
    put_routes(&mut state, &ControlLimits::default(), 0, 3, 0.5);
    assert_eq!(state.policy().routing.routes.len(), 3);
}
