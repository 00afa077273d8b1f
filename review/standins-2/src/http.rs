//! A client: one request on a connection of its own.

use std::{
    io::{self, Read, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Its head.
    pub head: String,
    /// What came of its body.
    pub body: Vec<u8>,
    /// The body has the length that the head names.
    pub whole: bool,
}

impl Answer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.head, name)
    }
}

/// Finds a header's value in a head.
pub fn find_header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (held, value) = line.split_once(':')?;
        held.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Splits what was read into head and body; `None` while the head is incomplete.
pub fn split(bytes: &[u8]) -> Option<(String, &[u8])> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some((String::from_utf8_lossy(&bytes[..end]).into_owned(), &bytes[end + 4..]))
}

/// Sends a request and reads its answer; no step takes longer than `patience`.
pub fn request(to: SocketAddr, text: &str, patience: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, patience)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_nodelay(true)?;
    stream.write_all(text.as_bytes())?;
    read_answer(&mut stream, |_| {})
}

/// Reads an answer with a length, and calls `after` with the number of bytes after each read.
pub fn read_answer(stream: &mut impl Read, mut after: impl FnMut(usize)) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        if let Some((head, body)) = split(&bytes) {
            let length = find_header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            if body.len() >= length {
                return to_answer(&bytes, true);
            }
        }
        let count = match stream.read(&mut part) {
            Ok(count) => count,
            // Reset: what came before it stays.
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset && !bytes.is_empty() => 0,
            Err(error) => return Err(error),
        };
        if count == 0 {
            return to_answer(&bytes, false);
        }
        bytes.extend_from_slice(&part[..count]);
        after(count);
    }
}

fn to_answer(bytes: &[u8], whole: bool) -> io::Result<Answer> {
    let (head, body) = split(bytes).ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
    Ok(Answer { status, body: body.to_vec(), head, whole })
}

/// A GET without more.
pub fn get(to: SocketAddr, path: &str, patience: Duration) -> io::Result<Answer> {
    request(to, &format!("GET {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n"), patience)
}

/// A POST of JSON.
pub fn post(to: SocketAddr, path: &str, body: &str, patience: Duration) -> io::Result<Answer> {
    let length = body.len();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    request(to, &text, patience)
}

/// A caller's GET with the key of the first tenant and a deadline.
pub fn to_call(path: &str, id: &str, deadline: Duration) -> String {
    to_call_with_key("key-1", path, id, deadline)
}

/// A caller's GET with a key and a deadline.
pub fn to_call_with_key(key: &str, path: &str, id: &str, deadline: Duration) -> String {
    let deadline = deadline.as_millis();
    format!(
        "GET {path} HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\
         Authorization: Bearer {key}\r\n\r\n"
    )
}
