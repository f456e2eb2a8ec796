//! How a fake engine responds.

/// How an engine responds to a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behavior {
    /// Returns a complete response.
    #[default]
    Normal,
    /// Executes the request and returns 500.
    ServerError,
    /// Returns 503 without executing the request.
    Full,
    /// Executes the request and closes its connection without a response.
    Disconnect,
    /// Closes the connection in the middle of the third event of a stream. Requests without a
    /// stream are answered normally.
    TruncateStream,
    /// Executes the request, sends no response and keeps the connection open.
    Hang,
    /// Sends the events of a stream 100 ms apart. Requests without a stream are answered after the
    /// same time.
    Slow,
    /// Returns a response that carries another attempt's id.
    WrongAttemptId,
    /// Returns a response without the `godwithinge-server-stamp` header.
    MissingStamp,
    /// Returns a complete response, and later a second one with the same id on its connection.
    RepeatLate,
    /// Sends the answer to the last stage call once more when the next call on its connection has
    /// arrived.
    RepeatToNext,
    /// Sends a refusal that it gave before once more when a request has arrived on a connection that was
    /// in use before, and executes the request.
    RepeatRefusal(RefusalId),
    /// Executes the request and returns 503, without the header that says that it has not.
    FailedBusy,
    /// Executes the request and closes the connection after this number of bytes of the head of a
    /// response.
    CutHead(usize),
    /// Executes the request and returns 200 with a text that is no stream.
    PlainText,
    /// Executes the request and returns a complete response with this status, which may be none of HTTP,
    /// then closes the connection. Reports have it as well.
    Status(RawStatus),
    /// Returns a response with neither a length nor chunks, which ends with its connection.
    Unframed(Cut),
    /// Executes the request and returns 500 with neither a length nor chunks.
    UnframedError(Cut),
    /// Sends bytes without end, until the caller closes the connection.
    Endless(Section),
}

/// Status of a response that an engine writes itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RawStatus {
    /// Written with three digits.
    pub code: u16,
    /// Whether the response says that the request was not executed.
    pub is_refusal: bool,
}

/// Whether a repeated refusal names the request that it was for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalId {
    /// It has no identifier.
    Absent,
    /// It has the identifier of an earlier request.
    Earlier,
}

/// Where an engine breaks off a response; the results of stage calls are broken off in the middle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// The response is complete.
    Never,
    /// The connection is closed after the head of a stream; plain responses are complete.
    BeforeFirstEvent,
    /// The connection is closed in the middle of the third event of a stream; plain responses are
    /// complete.
    InsideEvent,
    /// An error response follows in the middle of the third event of a stream; plain responses are
    /// complete.
    ErrorInsideEvent,
    /// The connection is reset after the second event of a stream, or in the middle of a plain
    /// response.
    Reset,
    /// The process of the engine is killed after the second event of a stream, or in the middle of a
    /// plain response, so that its connections are closed in order and new ones refused. It starts
    /// again some time later.
    Killed,
    /// The response is complete, and the process of the engine ends with it.
    Exited,
}

/// Section of a response in which an engine sends bytes without end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Section {
    /// Header fields.
    Head,
    /// Body, which contains no line break.
    Body,
    /// Body that consists of lines and blank lines but of no event with an identifier.
    Lines,
    /// Second event of a stream; slow, so that it takes long to become large.
    Event,
    /// Second event of a stream, of which a byte is sent now and then.
    Trickle,
    /// Comments after the first event of a stream, of which one is sent now and then.
    Comments,
    /// Bytes after the end of a complete plain response.
    Trailer,
}
