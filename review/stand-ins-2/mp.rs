//! MessagePack values, and their JSON form.

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Nil,
    B(bool),
    U(u64),
    I(i64),
    F(f64),
    S(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

impl From<&str> for V {
    fn from(s: &str) -> V {
        V::S(s.to_owned())
    }
}
impl From<String> for V {
    fn from(s: String) -> V {
        V::S(s)
    }
}
impl From<bool> for V {
    fn from(b: bool) -> V {
        V::B(b)
    }
}
impl From<u64> for V {
    fn from(n: u64) -> V {
        V::U(n)
    }
}
impl From<f64> for V {
    fn from(x: f64) -> V {
        V::F(x)
    }
}
impl From<Vec<V>> for V {
    fn from(a: Vec<V>) -> V {
        V::A(a)
    }
}

/// A map from pairs of names and values.
pub fn map(pairs: Vec<(&str, V)>) -> V {
    V::M(pairs.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl V {
    pub fn get(&self, key: &str) -> &V {
        if let V::M(m) = self {
            for (k, v) in m {
                if k == key {
                    return v;
                }
            }
        }
        &V::Nil
    }
    pub fn str(&self) -> &str {
        match self {
            V::S(s) => s,
            _ => "",
        }
    }
    pub fn u(&self) -> u64 {
        match self {
            V::U(n) => *n,
            V::I(n) => *n as u64,
            V::F(x) => *x as u64,
            _ => 0,
        }
    }
    pub fn f(&self) -> f64 {
        match self {
            V::U(n) => *n as f64,
            V::I(n) => *n as f64,
            V::F(x) => *x,
            _ => 0.0,
        }
    }
    pub fn bool(&self) -> bool {
        matches!(self, V::B(true))
    }
    pub fn list(&self) -> &[V] {
        match self {
            V::A(a) => a,
            _ => &[],
        }
    }
    pub fn is_nil(&self) -> bool {
        matches!(self, V::Nil)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.put(&mut out);
        out
    }

    fn put(&self, out: &mut Vec<u8>) {
        match self {
            V::Nil => out.push(0xc0),
            V::B(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
            V::U(n) if *n < 128 => out.push(*n as u8),
            V::U(n) => {
                out.push(0xcf);
                out.extend(n.to_be_bytes());
            }
            V::I(n) => {
                out.push(0xd3);
                out.extend(n.to_be_bytes());
            }
            V::F(x) => {
                out.push(0xcb);
                out.extend(x.to_be_bytes());
            }
            V::S(s) => {
                if s.len() < 32 {
                    out.push(0xa0 | s.len() as u8);
                } else {
                    out.push(0xdb);
                    out.extend((s.len() as u32).to_be_bytes());
                }
                out.extend(s.as_bytes());
            }
            V::A(a) => {
                if a.len() < 16 {
                    out.push(0x90 | a.len() as u8);
                } else {
                    out.push(0xdd);
                    out.extend((a.len() as u32).to_be_bytes());
                }
                for v in a {
                    v.put(out);
                }
            }
            V::M(m) => {
                if m.len() < 16 {
                    out.push(0x80 | m.len() as u8);
                } else {
                    out.push(0xdf);
                    out.extend((m.len() as u32).to_be_bytes());
                }
                for (k, v) in m {
                    V::S(k.clone()).put(out);
                    v.put(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        let v = take(bytes, &mut at)?;
        (at == bytes.len()).then_some(v)
    }

    pub fn json(&self) -> String {
        match self {
            V::Nil => "null".into(),
            V::B(b) => b.to_string(),
            V::U(n) => n.to_string(),
            V::I(n) => n.to_string(),
            V::F(x) => format!("{x:?}"),
            V::S(s) => quote(s),
            V::A(a) => format!("[{}]", a.iter().map(V::json).collect::<Vec<_>>().join(",")),
            V::M(m) => {
                let m = m.iter().map(|(k, v)| format!("{}:{}", quote(k), v.json()));
                format!("{{{}}}", m.collect::<Vec<_>>().join(","))
            }
        }
    }
}

fn quote(s: &str) -> String {
    let mut out = String::from("\"");
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if c < ' ' => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn num(b: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    let bytes = b.get(*at..*at + n)?;
    *at += n;
    Some(bytes.iter().fold(0, |x, y| x << 8 | u64::from(*y)))
}

fn text(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let bytes = b.get(*at..*at + n)?;
    *at += n;
    Some(V::S(String::from_utf8(bytes.to_vec()).ok()?))
}

fn items(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    (0..n)
        .map(|_| take(b, at))
        .collect::<Option<Vec<_>>>()
        .map(V::A)
}

fn pairs(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let mut m = Vec::new();
    for _ in 0..n {
        let k = take(b, at)?.str().to_owned();
        m.push((k, take(b, at)?));
    }
    Some(V::M(m))
}

fn take(b: &[u8], at: &mut usize) -> Option<V> {
    let t = *b.get(*at)?;
    *at += 1;
    Some(match t {
        0..=0x7f => V::U(u64::from(t)),
        0x80..=0x8f => pairs(b, at, usize::from(t & 15))?,
        0x90..=0x9f => items(b, at, usize::from(t & 15))?,
        0xa0..=0xbf => text(b, at, usize::from(t & 31))?,
        0xc0 => V::Nil,
        0xc2 => V::B(false),
        0xc3 => V::B(true),
        0xca => V::F(f64::from(f32::from_bits(num(b, at, 4)? as u32))),
        0xcb => V::F(f64::from_bits(num(b, at, 8)?)),
        0xcc => V::U(num(b, at, 1)?),
        0xcd => V::U(num(b, at, 2)?),
        0xce => V::U(num(b, at, 4)?),
        0xcf => V::U(num(b, at, 8)?),
        0xd0 => V::I(num(b, at, 1)? as i8 as i64),
        0xd1 => V::I(num(b, at, 2)? as i16 as i64),
        0xd2 => V::I(num(b, at, 4)? as i32 as i64),
        0xd3 => V::I(num(b, at, 8)? as i64),
        0xd9 => {
            let n = num(b, at, 1)? as usize;
            text(b, at, n)?
        }
        0xda => {
            let n = num(b, at, 2)? as usize;
            text(b, at, n)?
        }
        0xdb => {
            let n = num(b, at, 4)? as usize;
            text(b, at, n)?
        }
        0xdc => {
            let n = num(b, at, 2)? as usize;
            items(b, at, n)?
        }
        0xdd => {
            let n = num(b, at, 4)? as usize;
            items(b, at, n)?
        }
        0xde => {
            let n = num(b, at, 2)? as usize;
            pairs(b, at, n)?
        }
        0xdf => {
            let n = num(b, at, 4)? as usize;
            pairs(b, at, n)?
        }
        0xe0..=0xff => V::I(i64::from(t as i8)),
        _ => return None,
    })
}
