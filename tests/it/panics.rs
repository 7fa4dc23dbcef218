//! Tests that a panic ends no more than the future in which it happens.

use bulrushspan::core::catch_panic;
use futures_util::{StreamExt, stream::FuturesOrdered};

/// A panic while one request of a connection was handled cost all requests beside it their
/// responses.
#[tokio::test]
async fn a_panic_in_one_request_leaves_those_beside_it_their_responses() {
    let handle = |number: u32| async move {
        tokio::task::yield_now().await;
        assert_ne!(number, 1, "planted");
        number
    };
    let requests: FuturesOrdered<_> = (0..4).map(|number| catch_panic(handle(number))).collect();
    let responses: Vec<_> = requests.collect().await;
    assert_eq!(responses, [Some(0), None, Some(2), Some(3)]);
}
