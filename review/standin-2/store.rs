//! A stand-in for the platform's store, as PROTOCOL.md describes it: items with revisions, lists in pages,
//! watches, transactions and leases.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Message};
use crate::json::{self, quoted};

/// Most items of a page, and the size of their values from which the page ends.
const PAGE: (usize, usize) = (500, 1 << 20);

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event { key: key.to_owned(), revision: self.revision, item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (renewed, ttl))| now > *renewed + *ttl);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let serving = store.clone();
        http::listen(listener, move |connection| serving.serve(connection));
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(100));
            expiring.change(Content::expire);
        });
        store
    }

    fn change<T>(&self, act: impl FnOnce(&mut Content) -> T) -> T {
        let result = act(&mut self.state.0.lock().expect("the store's state"));
        self.state.1.notify_all();
        result
    }

    /// Writes an item as the operator or a server does; returns when the store has accepted it.
    pub fn put(&self, key: &str, value: &str) {
        self.put_bytes(key, value.as_bytes());
    }

    /// Writes an item of any bytes.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.change(|content| {
            content.revision += 1;
            content.put(key, value.to_vec(), 0);
        });
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(|content| {
            content.revision += 1;
            content.remove(key);
        });
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.message() {
            let (status, body) = self.reply(&request);
            let response = http::response(status, &[("Content-Type", "application/json")], &body);
            if connection.send(&response).is_err() {
                return;
            }
        }
    }

    fn reply(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query = parameters(query);
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| parameter(name).parse().unwrap_or(0);
        match (request.method(), path) {
            ("GET", "/kv-key") => self.change(|content| match content.items.get(&parameter("key")) {
                Some(item) => (200, described(&parameter("key"), item, Some(content.revision))),
                None => (404, "{}".to_owned()),
            }),
            ("GET", "/kv-range") => self.range(&parameter("prefix"), &parameter("after")),
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(&parameter("prefix"), number("after"), wait)
            }
            ("POST", "/kv-txn") => self.transact(&request.text()),
            ("POST", "/kv-lease") => {
                let ttl = json::parse(&request.text()).and_then(|body| body.get("ttl_ms").map(json::Value::number));
                let ttl = ttl.unwrap_or(0).max(1_000);
                self.change(|content| {
                    content.last_lease += 1;
                    let lease = content.last_lease;
                    content.leases.insert(lease, (Instant::now(), Duration::from_millis(ttl)));
                    (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
                })
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                self.change(|content| match content.leases.get_mut(&lease) {
                    Some((renewed, ttl)) => {
                        *renewed = Instant::now();
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                })
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.change(|content| content.end_lease(lease));
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        self.change(|content| {
            let items = content.items.iter();
            let mut items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after).peekable();
            let (mut page, mut bytes) = (Vec::new(), 0);
            while page.len() < PAGE.0 && bytes < PAGE.1 {
                let Some((key, item)) = items.next() else { break };
                bytes += item.value.len();
                page.push(described(key, item, None));
            }
            let more = items.peek().is_some();
            let body = format!(
                "{{\"items\":[{}],\"has_more\":{more},\"at\":{}}}",
                page.join(","),
                content.revision
            );
            (200, body)
        })
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let ends = Instant::now() + wait;
        let (lock, changed) = &*self.state;
        let mut content = lock.lock().expect("the store's state");
        loop {
            let events = content.events.iter();
            let events = events.filter(|event| event.revision > after && event.key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|event| match &event.item {
                    Some(item) => described(&event.key, item, None),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                        quoted(&event.key),
                        event.revision
                    ),
                })
                .collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), content.revision));
            }
            content = changed.wait_timeout(content, left).expect("the store's state").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| body.get(name).map(json::Value::list).unwrap_or_default().to_vec();
        let field = |row: &json::Value, name: &str| row.get(name).cloned().unwrap_or(json::Value::Null);
        self.change(|content| {
            let conditions = rows("precondition");
            let met = conditions.iter().all(|row| {
                let item = content.items.get(field(row, "key").text());
                item.map_or(0, |item| item.revision) == field(row, "revision").number()
            });
            if !met {
                let current = conditions.iter().filter_map(|row| {
                    let key = field(row, "key");
                    Some(described(key.text(), content.items.get(key.text())?, None))
                });
                let current: Vec<String> = current.collect();
                return (412, format!("{{\"items\":[{}]}}", current.join(",")));
            }
            let puts = rows("puts");
            let removed = rows("remove");
            let keys = puts.iter().map(|put| field(put, "key").text().to_owned());
            let mut keys = keys.chain(removed.iter().map(|key| key.text().to_owned()));
            if keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
                return (403, "{}".to_owned());
            }
            let leased = |put: &json::Value| field(put, "lease").number();
            if puts.iter().any(|put| leased(put) != 0 && !content.leases.contains_key(&leased(put))) {
                return (404, "{}".to_owned());
            }
            content.revision += 1;
            for put in &puts {
                let value = decode(field(put, "value").text());
                content.put(field(put, "key").text(), value, leased(put));
            }
            for key in &removed {
                content.remove(key.text());
            }
            (200, format!("{{\"revision\":{}}}", content.revision))
        })
    }
}

fn described(key: &str, item: &Item, at: Option<u64>) -> String {
    let at = at.map_or_else(String::new, |at| format!(",\"at\":{at}"));
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}{at}}}",
        quoted(key),
        encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn parameters(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), unescaped(value))).collect()
}

fn unescaped(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let escaped = after.get(..2).filter(|_| *first == b'%');
        let escaped = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard Base64 with padding.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let index = (number >> (18 - 6 * place)) & 63;
            text.push(if place <= group.len() { char::from(ALPHABET[index as usize]) } else { '=' });
        }
    }
    text
}

/// Decodes standard Base64.
pub fn decode(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|byte| ALPHABET.iter().position(|digit| *digit == byte));
    let (mut bytes, mut bits, mut held) = (Vec::new(), 0_u32, 0);
    for digit in digits {
        bits = bits << 6 | digit as u32;
        held += 6;
        if held >= 8 {
            held -= 8;
            bytes.push((bits >> held) as u8);
        }
    }
    bytes
}
