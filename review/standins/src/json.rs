//! JSON values, as far as the stand-ins need them.

use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            letter if (letter as u32) < 0x20 => {
                let _ = write!(quoted, "\\u{:04x}", letter as u32);
            }
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}

/// Parses a JSON document; `None` if it is malformed.
pub fn parse(text: &[u8]) -> Option<Value> {
    let mut parser = Parser { text, at: 0 };
    let value = parser.value()?;
    parser.space();
    (parser.at == text.len()).then_some(value)
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.at < self.text.len() && self.text[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.text[self.at..]
            .starts_with(word.as_bytes())
            .then(|| self.at += word.len())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Value::Object(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Value::Object(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Value::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Value::List(list));
                    }
                }
            }
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => {
                let start = self.at;
                while self.at < self.text.len() && b"+-.0123456789eE".contains(&self.text[self.at])
                {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                number.parse().ok().map(Value::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        (self.text.get(self.at) == Some(&b'"')).then(|| self.at += 1)?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let code = self.text.get(self.at..self.at + 4)?;
                            let code = std::str::from_utf8(code).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let letter = char::from_u32(code)?;
                            bytes.extend(letter.to_string().bytes());
                            self.at += 4;
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}
