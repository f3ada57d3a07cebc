//! JSON values: a parser and text for strings.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Value::Number(number)) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }
}

/// Returns a string as JSON text.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser {
        bytes: text.as_bytes(),
        at: 0,
    };
    let value = parser.value()?;
    parser.space();
    (parser.at == parser.bytes.len()).then_some(value)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self
            .bytes
            .get(self.at)
            .is_some_and(u8::is_ascii_whitespace)
        {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> bool {
        let found = self.bytes[self.at..].starts_with(text.as_bytes());
        self.at += if found { text.len() } else { 0 };
        found
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.take("true").then_some(Value::Bool(true)),
            b'f' => self.take("false").then_some(Value::Bool(false)),
            b'n' => self.take("null").then_some(Value::Null),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b"+-.eE0123456789".contains(b))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Value::Number)
            }
        }
    }

    fn object(&mut self) -> Option<Value> {
        let mut fields = BTreeMap::new();
        self.at += 1;
        self.space();
        if self.take("}") {
            return Some(Value::Object(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.space();
            if !self.take(":") {
                return None;
            }
            fields.insert(name, self.value()?);
            self.space();
            if self.take("}") {
                return Some(Value::Object(fields));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        let mut items = Vec::new();
        self.at += 1;
        self.space();
        if self.take("]") {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            self.space();
            if self.take("]") {
                return Some(Value::List(items));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take("\"") {
            return None;
        }
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escape = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            let hex = std::str::from_utf8(hex).ok()?;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}
