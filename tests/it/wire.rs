//! Tests of the limits and of the decoder of messages between instances.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bulrushspan::{
    core::{
        MapDelta,
        control::{Policy, PolicyDelta, PolicyEdit, Preset, ShiftRule, Version},
        encoded_len,
        peers::Peer,
        routing::RoutingTable,
        suspects::CrashReport,
        upstreams::{ListedState, ListedUpstream},
    },
    net::{
        mesh::{ClientLimits, MeshClient, MeshError, MeshHandler, serve_mesh},
        wire::{
            Cursor, FollowReply, FollowRequest, ListDelta, NodeReply, NodeRequest, PolicyUpdate,
            decode, encode,
        },
    },
};
use proptest::{prelude::*, test_runner::Config};
use tokio::{io::AsyncWriteExt, net::TcpListener};

/// Starts a server that replies to a number with a text of that length: a long one at once, and
/// one of up to 100 bytes later.
async fn serve_texts() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler: MeshHandler<usize, String> = Arc::new(|length, _peer| {
        Box::pin(async move {
            if length <= 100 {
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            Some("x".repeat(length))
        })
    });
    tokio::spawn(serve_mesh(listener, handler));
    address
}

/// A reply that its receiver does not take was sent all the same, and the receiver closed the
/// connection, which ended all other calls on it.
#[tokio::test]
async fn a_reply_that_is_longer_than_its_receiver_takes_is_not_sent() {
    let limits = ClientLimits { reply_max_bytes: 1000, ..ClientLimits::default() };
    let client: MeshClient<usize, String> = MeshClient::with_limits(serve_texts().await, limits);
    let (long, short) = tokio::join!(
        client.call(10_000, Duration::from_secs(1)),
        client.call(100, Duration::from_secs(60))
    );
    assert_eq!(long, Err(MeshError::NoReply));
    assert_eq!(short, Ok("x".repeat(100)));
}

/// Guards against a client that waits for, and holds, a reply that is longer than it takes, from
/// a server that doesn't know its limit.
#[tokio::test]
async fn a_connection_on_which_too_long_a_reply_arrives_is_closed_at_its_beginning() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let limits = ClientLimits { reply_max_bytes: 1000, ..ClientLimits::default() };
    let address = listener.local_addr().unwrap();
    let client: MeshClient<usize, String> = MeshClient::with_limits(address, limits);
    let call = tokio::spawn(async move { client.call(1, Duration::from_secs(60)).await });
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.write_all(&1001_u32.to_be_bytes()).await.unwrap();
    let reply = tokio::time::timeout(Duration::from_secs(30), call).await;
    assert_eq!(reply.expect("the call waits for the rest").unwrap(), Err(MeshError::NoReply));
}

/// Calls that were too long for a frame ended the connection without a log line.
#[tokio::test]
async fn a_call_that_is_longer_than_a_frame_is_not_sent() {
    let client: MeshClient<String, usize> = MeshClient::new(serve_texts().await);
    let call = client.call("x".repeat(65 * 1024 * 1024), Duration::from_secs(60));
    assert_eq!(call.await, Err(MeshError::TooLong));
}

/// Long calls are kept in pieces, and must arrive whole among short ones on the same connection.
#[tokio::test]
async fn calls_of_all_lengths_arrive_whole_on_one_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let echo: MeshHandler<String, String> = Arc::new(|text, _peer| Box::pin(async { Some(text) }));
    tokio::spawn(serve_mesh(listener, echo));
    let client: MeshClient<String, String> = MeshClient::new(address);
    let client = &client;
    let frame_bytes = [8 * 1024, 16 * 1024, 64 * 1024].into_iter();
    let around_limits = frame_bytes.flat_map(|bytes| bytes - 40..bytes + 40);
    let lengths = around_limits.chain([0, 1, 100, 1_000_000, 5_000_000]);
    let calls = lengths.map(|length| async move {
        let text: String = (0..length).map(|index| char::from(b'a' + (index % 23) as u8)).collect();
        let reply = client.call(text.clone(), Duration::from_secs(60)).await;
        assert!(reply.as_ref() == Ok(&text), "{length} bytes: {:?}", reply.map(|text| text.len()));
    });
    futures_util::future::join_all(calls).await;
}

fn delta(version: Version, name: &str) -> PolicyDelta {
    let preset = Preset {
        shares: BTreeMap::from([(name.to_owned(), BTreeMap::from([(name.to_owned(), 1000)]))]),
        shift: ShiftRule { cap_permille: 50, interval_ms: 1000, headroom_permille: 0 },
    };
    let routing = RoutingTable::default().delta_to(&RoutingTable::default());
    let edits = vec![
        PolicyEdit::Revision(version),
        PolicyEdit::Preset(name.to_owned(), preset),
        PolicyEdit::Suspect(name.to_owned(), None),
        PolicyEdit::Routing(routing),
    ];
    PolicyDelta { version, edits }
}

fn update() -> impl Strategy<Value = PolicyUpdate> {
    let deltas = (any::<Version>(), proptest::collection::vec(".{0,8}", 0..4)).prop_map(
        |(version, names)| {
            PolicyUpdate::Deltas(names.iter().map(|name| delta(version, name)).collect())
        },
    );
    let whole = (0..u64::MAX, ".{0,8}").prop_map(|(version, name)| {
        let mut policy = Policy { version, ..Policy::default() };
        policy.apply_delta(&delta(version + 1, &name));
        PolicyUpdate::Whole(Box::new(policy))
    });
    prop_oneof![deltas, whole]
}

fn list() -> impl Strategy<Value = ListDelta> {
    let listed = |(id, number, cold_ms): (String, u32, u32)| ListedUpstream {
        id,
        service: format!("s{}", number % 3),
        address: SocketAddr::from((number.to_be_bytes(), 8080)),
        zone: format!("z{}", number % 2),
        version: "v1".to_owned(),
        slots: number,
        state: if number % 2 == 0 { ListedState::Ready } else { ListedState::Leaving },
        cold_left: Duration::from_millis(cold_ms.into()),
        started_unix_ms: (number % 5 > 0).then_some(number.into()),
    };
    let ids = proptest::collection::vec((".{0,8}", any::<u32>(), any::<u32>()), 0..6);
    (any::<u64>(), any::<bool>(), ids, proptest::collection::vec(".{0,8}", 0..3)).prop_map(
        move |(counter, is_full, ids, removed)| {
            let put = ids.into_iter().map(listed).map(|listed| (listed.id.clone(), listed));
            let change = MapDelta { version: counter, is_full, put: put.collect(), removed };
            ListDelta { counter, change }
        },
    )
}

fn follow_reply() -> impl Strategy<Value = Vec<u8>> {
    (update(), proptest::option::of(list()), any::<u64>(), ".{0,8}").prop_map(
        |(update, list, number, name)| {
            let peer = Peer {
                instance: name.clone(),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                region: name.clone(),
            };
            let reply = FollowReply {
                zone: name.clone(),
                version: number,
                update,
                list,
                list_age_ms: Some(number),
                replicas: vec![name],
                behind_ms: None,
                entries: number as u32,
                entry_rank: Some(number as u32),
                peers: Some(vec![peer]),
                held_ms: number,
            };
            encode(&NodeReply::Follow(Box::new(reply))).unwrap()
        },
    )
}

fn follow_request() -> impl Strategy<Value = Vec<u8>> {
    (any::<u64>(), proptest::option::of(any::<u64>()), ".{0,8}").prop_map(
        |(number, version, name)| {
            let request = FollowRequest {
                version,
                list: version.map(|count| Cursor { counter: number, count }),
                demand: Vec::new(),
                hold_ms: number,
                peers_of: Some(name.clone()),
                crashes: vec![CrashReport { fingerprint: name.clone(), upstream: name }],
            };
            encode(&NodeRequest::Follow(request)).unwrap()
        },
    )
}

proptest! {
    #![proptest_config(Config { cases: 200, ..Config::default() })]

    /// What is decoded must be encoded to the same bytes again, and the length computed for the
    /// choice between deltas and the whole policy must be that of the bytes that are sent.
    #[test]
    fn messages_of_followers_survive_encoding(
        reply in follow_reply(),
        request in follow_request(),
        update in update(),
    ) {
        prop_assert_eq!(&encode(&decode::<NodeReply>(&reply).unwrap()).unwrap(), &reply);
        prop_assert_eq!(&encode(&decode::<NodeRequest>(&request).unwrap()).unwrap(), &request);
        prop_assert_eq!(encoded_len(&update), encode(&update).unwrap().len() as u64);
    }

    /// Bytes that are no message, and messages that are cut off or changed on the way, must not
    /// end the process.
    #[test]
    fn damaged_messages_of_followers_are_decoded_or_refused(
        reply in follow_reply(),
        request in follow_request(),
        noise in proptest::collection::vec(any::<u8>(), 0..64),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        for mut message in [reply, request] {
            let position = position.index(message.len());
            prop_assert!(decode::<NodeReply>(&message[..position]).is_err());
            prop_assert!(decode::<NodeRequest>(&message[..position]).is_err());
            message[position] = byte;
            decode::<NodeReply>(&message).ok();
            decode::<NodeRequest>(&message).ok();
        }
        decode::<NodeReply>(&noise).ok();
        decode::<NodeRequest>(&noise).ok();
    }
}
