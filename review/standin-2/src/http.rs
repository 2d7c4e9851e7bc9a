//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body has the length that the head states.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; `None` at the end of the connection before its first byte.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = find(buf, b"\r\n\r\n") {
            break at;
        }
        if read_more(stream, buf)? == 0 {
            return match buf.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first: lines.next().unwrap_or("").to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let (name, value) = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push((name, value));
        }
    }
    if message.header("transfer-encoding").is_some() {
        message.is_complete = read_chunks(stream, buf, &mut message.body)?;
    } else if let Some(len) = message.header("content-length") {
        let len: usize = len.parse().map_err(io::Error::other)?;
        while buf.len() < len {
            match read_more(stream, buf) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        let len_read = len.min(buf.len());
        message.body = buf.drain(..len_read).collect();
        message.is_complete = message.body.len() == len;
    } else {
        message.is_complete = true;
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, buf: &mut Vec<u8>, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let end = loop {
            if let Some(at) = find(buf, b"\r\n") {
                break at;
            }
            if read_more(stream, buf)? == 0 {
                return Ok(false);
            }
        };
        let line = String::from_utf8_lossy(&buf[..end]).into_owned();
        let size = line.split(';').next().unwrap_or("").trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
        while buf.len() < end + 2 + size + 2 {
            if read_more(stream, buf)? == 0 {
                return Ok(false);
            }
        }
        body.extend_from_slice(&buf[end + 2..end + 2 + size]);
        buf.drain(..end + 2 + size + 2);
        if size == 0 {
            return Ok(true);
        }
    }
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 16 * 1024];
    let len = stream.read(&mut chunk)?;
    buf.extend_from_slice(&chunk[..len]);
    Ok(len)
}

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|part| part == what)
}

/// Sends a request on a new connection and reads its response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    let left = timeout.saturating_sub(started.elapsed());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.set_nodelay(true)?;
    stream.write_all(&request(method, path, headers, body))?;
    let message = read_message(&mut stream, &mut Vec::new())?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str("Host: platform.example\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The bytes of a response.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
