//! A little HTTP/1.1 over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read as _, Write as _},
    net::{IpAddr, SocketAddr, TcpStream},
    time::Duration,
};

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` where the connection ends before one.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
        let mut head = Head::default();
        if reader.read_line(&mut head.first)? == 0 {
            return Ok(None);
        }
        head.first.truncate(head.first.trim_end().len());
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { return Ok(Some(head)) };
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// A header's value.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(held, _)| held == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }

    /// Reads the body of a request with this head.
    pub fn read_body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        if self.is_chunked() {
            return read_chunks(reader);
        }
        let mut body = vec![0; self.length().unwrap_or_default()];
        reader.read_exact(&mut body)?;
        Ok(body)
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(body);
        }
        body.extend(&chunk[..length]);
    }
}

/// One connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection; neither that nor a read waits for longer than `patience`.
    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    /// Sends a request.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    /// Reads an answer's head and whole body.
    pub fn read(&mut self) -> io::Result<(Head, Vec<u8>)> {
        let head = Head::read(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let framed = head.length().is_some() || head.is_chunked();
        let body = if framed {
            head.read_body(&mut self.reader)?
        } else {
            let mut body = Vec::new();
            self.reader.read_to_end(&mut body)?;
            body
        };
        Ok((head, body))
    }
}

/// Sends one request on a connection of its own, which is closed afterwards, whatever came.
pub fn exchange(address: SocketAddr, patience: Duration, text: &str) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = Connection::open(address, patience)?;
    connection.send(text)?;
    connection.read()
}

/// The text of a request with a JSON body, or none.
pub fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The address of the other end.
pub fn peer_of(stream: &TcpStream) -> Option<IpAddr> {
    stream.peer_addr().ok().map(|peer| peer.ip())
}
