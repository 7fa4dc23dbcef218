//! Tests of the HTTP/1.1 parser with complete, split, truncated and ambiguous
//! messages.

use bulrushspan::net::http1::{
    BodyReader, Framing, HeadError, parse_request_head, parse_response_head,
};
use bytes::BytesMut;

const HEAD_MAX: usize = 1024;

fn is_malformed(head: &str) -> bool {
    let mut buffer = BytesMut::from(head);
    matches!(parse_request_head(&mut buffer, HEAD_MAX), Err(HeadError::Malformed(_)))
}

#[test]
fn ambiguous_and_malformed_requests_are_refused() {
    let heads = [
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4, 4\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
        "GET /\u{0} HTTP/1.1\r\nHost: a\r\n\r\n",
    ];
    let accepted_heads: Vec<&&str> = heads.iter().filter(|head| !is_malformed(head)).collect();
    assert!(accepted_heads.is_empty(), "{accepted_heads:?}");
}

#[test]
fn a_head_is_consumed_once_complete_and_the_rest_stays_buffered() {
    let text = "\r\nGET /a?b HTTP/1.1\r\nHost: h\r\n\r\nGET /next";
    for end in 0..text.len() - "GET /next".len() {
        let mut buffer = BytesMut::from(&text[..end]);
        let parsed = parse_request_head(&mut buffer, HEAD_MAX).unwrap();
        assert!(parsed.is_none(), "{:?} is incomplete but was parsed", &text[..end]);
    }
    let mut buffer = BytesMut::from(text);
    let head = parse_request_head(&mut buffer, HEAD_MAX).unwrap().unwrap();
    assert_eq!((head.target.as_str(), head.framing), ("/a?b", Framing::Length(0)));
    assert_eq!(&buffer[..], b"GET /next");
}

#[test]
fn a_head_over_the_limit_is_refused_before_it_is_complete() {
    let text = format!("GET /{} HTTP/1.1\r\n", "x".repeat(HEAD_MAX));
    let mut buffer = BytesMut::from(text.as_str());
    let parsed = parse_request_head(&mut buffer, HEAD_MAX).map(|head| head.is_some());
    assert_eq!(parsed, Err(HeadError::TooLarge));
}

#[test]
fn chunks_are_decoded_however_the_input_is_split() {
    let text = b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\nnext";
    for size in 1..text.len() {
        let mut reader = BodyReader::new(Framing::Chunked);
        let (mut buffer, mut body) = (BytesMut::new(), Vec::new());
        for fragment in text.chunks(size) {
            buffer.extend_from_slice(fragment);
            while let Some(data) = reader.next(&mut buffer).unwrap() {
                body.extend_from_slice(&data);
            }
        }
        assert!(reader.is_done());
        assert_eq!((body.as_slice(), &buffer[..]), (&b"abcde"[..], &b"next"[..]));
    }
}

#[test]
fn a_body_that_ends_early_is_incomplete() {
    for framing in [Framing::Length(5), Framing::Chunked] {
        let mut reader = BodyReader::new(framing);
        // These five bytes are a complete body of length 5, but only part of a chunk.
        let mut buffer = BytesMut::from("3\r\nab");
        while reader.next(&mut buffer).unwrap().is_some() {}
        assert!(!reader.is_done() || reader.handle_eof().is_ok());
        if framing == Framing::Chunked {
            assert!(reader.handle_eof().is_err());
        }
    }
}

#[test]
fn a_response_without_a_length_ends_when_the_connection_closes() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\nX: y\r\n\r\nab");
    let head = parse_response_head(&mut buffer, HEAD_MAX, "GET").unwrap().unwrap();
    assert_eq!((head.framing, head.keeps_alive), (Framing::UntilClose, false));
    let mut reader = BodyReader::new(head.framing);
    assert_eq!(reader.next(&mut buffer).unwrap().unwrap(), "ab");
    assert!(reader.handle_eof().is_ok() && reader.is_done());
}

/// A head that is cut anywhere was taken for a complete one.
#[test]
fn a_response_head_is_incomplete_until_its_blank_line() {
    let text = "HTTP/1.1 200 OK\r\nServer: u\r\nContent-Length: 12\r\n\r\n";
    for end in 0..text.len() {
        let mut buffer = BytesMut::from(&text[..end]);
        let parsed = parse_response_head(&mut buffer, HEAD_MAX, "GET").unwrap();
        assert!(parsed.is_none(), "{:?} is incomplete but was parsed", &text[..end]);
    }
}

/// A chunked body that is cut anywhere, or has a chunk size without digits, was complete.
#[test]
fn a_chunked_body_ends_only_with_its_last_chunk_and_trailers() {
    let text = "2\r\nab\r\n0\r\nTrailer: t\r\n\r\n";
    for end in 0..text.len() {
        let mut reader = BodyReader::new(Framing::Chunked);
        let mut buffer = BytesMut::from(&text[..end]);
        while reader.next(&mut buffer).unwrap().is_some() {}
        assert!(reader.handle_eof().is_err(), "{:?} is incomplete", &text[..end]);
    }
    for line in ["\r\n", ";a=b\r\n", " \r\n"] {
        let mut reader = BodyReader::new(Framing::Chunked);
        let mut buffer = BytesMut::from(format!("{line}\r\n").as_str());
        assert!(reader.next(&mut buffer).is_err(), "{line:?} was taken for a chunk size");
    }
}

/// A request within the size limit was rejected with 431 because of the number of its fields.
#[test]
fn a_head_within_the_size_limit_may_have_many_fields() {
    let fields = "a:b\r\n".repeat(150);
    let text = format!("GET / HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    assert!(text.len() <= HEAD_MAX);
    let head = parse_request_head(&mut BytesMut::from(text.as_str()), HEAD_MAX).unwrap().unwrap();
    assert_eq!(head.headers.get_all("a").count(), 150);
}

/// Valid framing that is seldom used was rejected with 400.
#[test]
fn valid_request_heads_are_accepted() {
    let lines = [
        ("POST / HTTP/1.1", "TRANSFER-ENCODING: \t Chunked \t", Framing::Chunked),
        ("POST / HTTP/1.1", "content-length:3", Framing::Length(3)),
        ("POST / HTTP/1.1", "Content-Length: 3\r\nContent-Length: 3", Framing::Length(3)),
        ("GET / HTTP/1.1", "Content-Length: 3", Framing::Length(3)),
        ("GET / HTTP/1.0", "X: y", Framing::Length(0)),
        ("PURGE /%ff?a=b&c={d}|e HTTP/1.1", "X: \u{e9}\ty", Framing::Length(0)),
    ];
    for (line, field, framing) in lines {
        for end in ["\r\n", "\n"] {
            let text = format!("\r\n\r\n{line}{end}host:  a:80 {end}{field}{end}{end}");
            let parsed = parse_request_head(&mut BytesMut::from(text.as_str()), HEAD_MAX);
            assert_eq!(parsed.unwrap().unwrap().framing, framing, "{text:?}");
        }
    }
}

/// Targets in absolute form were rejected with 400; others must not be taken for such.
#[test]
fn a_target_in_absolute_form_is_split() {
    let targets = [
        ("http://a/b?c", "/b?c", Some("a")),
        ("HTTP://a:80", "/", Some("a:80")),
        ("http://[::1]:8?c=/", "/?c=/", Some("[::1]:8")),
        ("/http://a/b", "/http://a/b", None),
        ("/x?u=http://a/b", "/x?u=http://a/b", None),
        ("http:///b", "http:///b", None),
        ("http://u@a/b", "http://u@a/b", None),
        ("https://a/b", "https://a/b", None),
        ("*", "*", None),
    ];
    for (sent, target, authority) in targets {
        let text = format!("GET {sent} HTTP/1.1\r\nHost: h\r\n\r\n");
        let parsed = parse_request_head(&mut BytesMut::from(text.as_str()), HEAD_MAX);
        let head = parsed.unwrap().unwrap();
        assert_eq!((head.target.as_str(), head.authority.as_deref()), (target, authority));
    }
}

/// Chunk extensions and trailers without end, each within the limit of a line: they took no part in
/// the limit on the body.
#[test]
fn extensions_and_trailers_are_limited_together() {
    let extension = format!("1;{}\r\nx\r\n", "x".repeat(1000));
    let trailer = format!("0\r\n{}", format!("a: {}\r\n", "x".repeat(1000)).repeat(20));
    for text in [extension.repeat(20), trailer] {
        let mut buffer = BytesMut::from(text.as_str());
        let mut reader = BodyReader::new(Framing::Chunked);
        let result = loop {
            match reader.next(&mut buffer) {
                Ok(Some(_)) => {}
                result => break result,
            }
        };
        assert!(result.is_err(), "{result:?}");
    }
    let small_chunks = "1\r\nx\r\n".repeat(20_000);
    let mut buffer = BytesMut::from(small_chunks.as_str());
    let mut reader = BodyReader::new(Framing::Chunked);
    while reader.next(&mut buffer).unwrap().is_some() {}
    assert!(buffer.is_empty());
}

/// A head that was cut off and the one after it were read as one.
#[test]
fn a_status_line_within_a_response_head_is_noticed() {
    for (text, expected) in [
        ("HTTP/1.1 200 OK\r\nServer: u\r\n\r\n", false),
        ("\r\nHTTP/1.1 200 OK\r\n\r\n", false),
        ("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/1.1 20\r\n\r\n", false),
        ("HTTP/1.1 200 OK\r\nA: HTTP/1.1 2000\r\nB: XHTTP/11 200\r\n\r\n", false),
        ("HTTP/1.1 200 OHTTP/1.1 500 Error\r\n\r\n", true),
        ("HTTP/1.1 200 \u{e9}HTTP/1.1 500 Error\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\nA: bHTTP/1.0 503\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\nA:HTTP/1.1 503 Busy\r\n\r\n", true),
    ] {
        let head = parse_response_head(&mut BytesMut::from(text), HEAD_MAX, "GET");
        let head = head.unwrap().unwrap();
        assert_eq!(head.holds_status_line, expected, "{text:?}");
    }
}
