//! Keys that are withdrawn while their sessions are open: no later statement may run under them.

mod gateway_fixture;

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use eyre::Result;
use gateway_fixture::{config, configure, target};
use indexmap::IndexMap;
use pomelopin::{
    clock::Millis,
    fleet::{
        config::{FleetConfig, FleetWorkspace},
        failover::TargetStatus,
        messages::{Announcement, FleetView, Primary, TargetRole, ViewRevision},
    },
    gateway::{
        cx::{Cx, GatewaySettings},
        ports::{
            Caller, CallerMessage, StartupMessage, TargetConnection, TargetFailure, TargetRequest,
            Targets,
        },
        runtime::serve,
        statement::{
            Answer, ErrorCode, PreparedStatement, Request, Statement, StatementError,
            TransactionState,
        },
    },
    ids::{Mark, Workspace},
};

/// Target that records the requests that reach it, in the order of their arrival.
#[derive(Clone, Default)]
struct RecordingTargets(Rc<RefCell<Vec<String>>>);

struct RecordingConnection {
    log: Rc<RefCell<Vec<String>>>,
    state: TransactionState,
    answers: VecDeque<TransactionState>,
}

impl RecordingConnection {
    fn apply(&mut self, request: &TargetRequest<'_>) {
        let text = match request {
            TargetRequest::Forward { request, .. } => request.text.clone(),
            TargetRequest::Execute { request, .. } => request.text.clone(),
            TargetRequest::Begin { .. } => "BEGIN".to_owned(),
            TargetRequest::Rollback => "ROLLBACK".to_owned(),
            _ => String::new(),
        };
        match text.as_str() {
            "BEGIN" => self.state = TransactionState::Open,
            "COMMIT" | "ROLLBACK" => self.state = TransactionState::Idle,
            _ => {}
        }
        if !text.is_empty() {
            self.log.borrow_mut().push(text);
        }
        self.answers.push_back(self.state);
    }
}

impl TargetConnection for RecordingConnection {
    async fn send(&mut self, requests: &[TargetRequest<'_>]) -> Result<(), TargetFailure> {
        requests.iter().for_each(|request| self.apply(request));
        Ok(())
    }

    async fn receive(&mut self) -> Result<Answer, TargetFailure> {
        let state = self.answers.pop_front().unwrap_or_default();
        Ok(Answer { position: Some(Mark::new(1, 1)), ..Answer::local(state) })
    }

    fn status(_: &Answer) -> Option<TargetStatus> {
        None
    }
}

impl Targets for RecordingTargets {
    type Connection = RecordingConnection;

    async fn open(
        &self,
        _: &Announcement,
        _: Option<&Workspace>,
    ) -> Result<(RecordingConnection, Option<Mark>), TargetFailure> {
        let log = self.0.clone();
        let (state, answers) = (TransactionState::Idle, VecDeque::new());
        Ok((RecordingConnection { log, state, answers }, None))
    }

    fn decode_config(&self, _: &[u8]) -> Result<FleetConfig> {
        Ok(FleetConfig::default())
    }
}

/// State and error code of an answer.
type Answered = (TransactionState, Option<ErrorCode>);

/// What a caller does next.
enum Step {
    Send(Statement),
    /// Another configuration comes into force.
    Configure(Box<FleetConfig>),
}

/// Caller that follows a script.
struct ScriptedCaller {
    cx: Rc<Cx<RecordingTargets>>,
    steps: VecDeque<Step>,
    answers: Rc<RefCell<Vec<Answered>>>,
}

impl Caller for ScriptedCaller {
    async fn start(&mut self) -> Result<Option<StartupMessage>> {
        Ok(Some(StartupMessage { database: "db".to_owned(), key: Some("key".to_owned()) }))
    }

    async fn accept(&mut self) -> Result<()> {
        Ok(())
    }

    async fn refuse(&mut self, error: &StatementError) -> Result<()> {
        panic!("session refused: {error}");
    }

    async fn next(&mut self) -> Result<CallerMessage> {
        loop {
            match self.steps.pop_front() {
                None => return Ok(CallerMessage::End),
                Some(Step::Configure(config)) => {
                    assert!(self.cx.topology.borrow_mut().set_config(*config));
                }
                Some(Step::Send(statement)) => {
                    let text = match &statement {
                        Statement::Write => "WRITE a x".to_owned(),
                        Statement::Read => "READ a".to_owned(),
                        Statement::Execute { name, .. } => format!("EXEC {name} a x"),
                        Statement::Commit => "COMMIT".to_owned(),
                        other => format!("{other:?}"),
                    };
                    let request = Request { id: "1".to_owned(), text, statement };
                    return Ok(CallerMessage::Request(request));
                }
            }
        }
    }

    async fn answer(&mut self, answer: &Answer) -> Result<()> {
        self.answers.borrow_mut().push((answer.state, answer.code()));
        Ok(())
    }
}

const BEGIN: Step = Step::Send(Statement::Begin { read_only: false });
const READ: Step = Step::Send(Statement::Read);
const WRITE: Step = Step::Send(Statement::Write);
const COMMIT: Step = Step::Send(Statement::Commit);
const ROLLBACK: Step = Step::Send(Statement::Rollback);

fn prepare() -> Step {
    let statement = PreparedStatement { writes: true, text: "WRITE q".to_owned() };
    Step::Send(Statement::Prepare { name: "s".to_owned(), statement })
}

fn execute() -> Step {
    Step::Send(Statement::Execute { name: "s".to_owned(), arguments: "a x".to_owned() })
}

fn initial_config() -> FleetConfig {
    config(400, FleetWorkspace { rate: 1_000, burst: 1_000 })
}

fn configure_with(config: FleetConfig) -> Step {
    Step::Configure(Box::new(config))
}

/// The key belongs to nobody any more.
fn withdraw_key() -> Step {
    configure_with(FleetConfig { version: 2, api_keys: IndexMap::new(), ..initial_config() })
}

/// The key belongs to another workspace.
fn move_key() -> Step {
    let initial = initial_config();
    let mut workspaces = initial.workspaces.clone();
    workspaces.insert("other".into(), FleetWorkspace { rate: 1_000, burst: 1_000 });
    let api_keys = initial.api_keys.keys().map(|key| (key.clone(), "other".into())).collect();
    configure_with(FleetConfig { version: 2, workspaces, api_keys, ..initial })
}

/// What a session got and what reached the target.
struct Outcome {
    answers: Vec<Answered>,
    requests: Vec<String>,
}

/// Runs a session with the given steps.
async fn run(steps: impl IntoIterator<Item = Step>) -> Outcome {
    let targets = RecordingTargets::default();
    let log = targets.0.clone();
    let cx = Rc::new(Cx::new(GatewaySettings::default(), targets));
    configure(&cx, initial_config(), 900);
    let primary = Primary { service: "ledger".into(), id: Some("p".into()), changing: false };
    cx.topology.borrow_mut().set_view(FleetView {
        revision: ViewRevision { term: 1, number: 1 },
        targets: vec![target("p", TargetRole::Primary)],
        primaries: vec![primary],
        ..FleetView::default()
    });
    cx.lease.borrow_mut().extend(cx.now(), Millis(60_000));
    let answers = Rc::new(RefCell::new(Vec::new()));
    let steps = steps.into_iter().collect();
    let caller = ScriptedCaller { cx: cx.clone(), steps, answers: answers.clone() };
    serve(cx, caller).await;
    Outcome { answers: answers.take(), requests: log.take() }
}

const IDLE: TransactionState = TransactionState::Idle;
const OPEN: TransactionState = TransactionState::Open;
const FAILED: TransactionState = TransactionState::Failed;
const NO_AUTH: Option<ErrorCode> = Some(ErrorCode::NoAuth);
const ABORTED: Option<ErrorCode> = Some(ErrorCode::Aborted);
const MALFORMED: Option<ErrorCode> = Some(ErrorCode::Malformed);

/// Guards against statements that run and are committed for a key that was withdrawn after
/// BEGIN, which reaches a target only with the first statement (review/5).
#[tokio::test]
async fn transaction_begun_before_its_key_was_withdrawn_does_not_run() {
    let outcome = run([BEGIN, withdraw_key(), READ, WRITE, COMMIT]).await;
    assert_eq!(outcome.requests, Vec::<String>::new());
    assert_eq!(
        outcome.answers,
        [(OPEN, None), (FAILED, NO_AUTH), (FAILED, MALFORMED), (IDLE, ABORTED)]
    );
}

/// Guards against further statements in a transaction whose key was withdrawn after its first
/// one: what was begun is rolled back.
#[tokio::test]
async fn open_transaction_is_rolled_back_when_its_key_was_withdrawn() {
    let outcome = run([BEGIN, WRITE, withdraw_key(), WRITE, COMMIT, READ]).await;
    assert_eq!(outcome.requests, ["BEGIN", "WRITE a x", "ROLLBACK"]);
    let expected =
        [(OPEN, None), (OPEN, None), (FAILED, NO_AUTH), (IDLE, ABORTED), (IDLE, NO_AUTH)];
    assert_eq!(outcome.answers, expected);
}

/// Guards against a COMMIT for a withdrawn key, and against an answer that leaves open whether
/// it ran.
#[tokio::test]
async fn commit_for_a_withdrawn_key_is_not_sent() {
    let outcome = run([BEGIN, WRITE, withdraw_key(), COMMIT]).await;
    assert_eq!(outcome.requests, ["BEGIN", "WRITE a x", "ROLLBACK"]);
    assert_eq!(outcome.answers, [(OPEN, None), (OPEN, None), (IDLE, ABORTED)]);
    let outcome = run([BEGIN, WRITE, withdraw_key(), ROLLBACK]).await;
    assert_eq!(outcome.requests, ["BEGIN", "WRITE a x", "ROLLBACK"]);
    assert_eq!(outcome.answers, [(OPEN, None), (OPEN, None), (IDLE, None)]);
}

/// Guards against a transaction that goes on in the name of a workspace which has given its key
/// to another one.
#[tokio::test]
async fn transaction_does_not_outlive_the_move_of_its_key_to_another_workspace() {
    let outcome = run([BEGIN, WRITE, move_key(), WRITE, COMMIT]).await;
    assert_eq!(outcome.requests, ["BEGIN", "WRITE a x", "ROLLBACK"]);
    assert_eq!(outcome.answers[2..], [(FAILED, NO_AUTH), (IDLE, ABORTED)]);
}

/// Guards against a session that uses its prepared statements, or prepares others, after its key
/// was withdrawn.
#[tokio::test]
async fn resting_session_is_refused_when_its_key_was_withdrawn() {
    let outcome = run([prepare(), execute(), withdraw_key(), execute(), prepare()]).await;
    assert_eq!(outcome.requests, ["EXEC s a x"]);
    assert_eq!(outcome.answers, [(IDLE, None), (IDLE, None), (IDLE, NO_AUTH), (IDLE, NO_AUTH)]);
}

/// Guards against transactions that are rolled back by a configuration which keeps their key.
#[tokio::test]
async fn transaction_outlives_a_configuration_that_keeps_its_key() {
    let kept = configure_with(FleetConfig { version: 2, ..initial_config() });
    let outcome = run([BEGIN, WRITE, kept, WRITE, COMMIT]).await;
    assert_eq!(outcome.requests, ["BEGIN", "WRITE a x", "WRITE a x", "COMMIT"]);
    assert!(outcome.answers.iter().all(|(_, code)| code.is_none()), "{:?}", outcome.answers);
}
