//! Configuration of an entry host that has lost the control leader: it may have been replaced
//! since, so that the host must not act on it for longer than control counts on.

mod gateway_fixture;

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use eyre::Result;
use futures::{SinkExt, StreamExt};
use gateway_fixture::{UnreachableTargets, config, target};
use pomelopin::{
    clock::Millis,
    fleet::{
        allocation::Fraction,
        config::FleetWorkspace,
        document::compress,
        link::{decode, encode, split_framed},
        messages::{
            Allocation, AllocationRevision, ConfigDocument, FleetView, Frame, HostUpdate,
            LimitUpdate, Primary, TargetRole, ViewRevision,
        },
    },
    gateway::{
        control_link::{self, ControlHosts},
        cx::{Cx, GatewaySettings},
        ports::{Caller, CallerMessage, StartupMessage},
        runtime::serve,
        statement::{Answer, ErrorCode, Request, Statement, StatementError},
    },
    ids::Incarnation,
};
use tokio::{net::TcpListener, task::LocalSet, time::sleep};

/// Time after the last contact from which a host must not act on its configuration.
const MAX_CONFIG_AGE: Duration = Duration::from_millis(6_000);

/// Time for a message to arrive and to be handled.
const MARGIN: Duration = Duration::from_millis(500);

/// Caller with the key `key` that sends its statements with pauses before them.
struct PausingCaller {
    database: &'static str,
    steps: VecDeque<(Duration, Statement)>,
    /// Error code of the refused start, or of each answer.
    codes: Rc<RefCell<Vec<Option<ErrorCode>>>>,
}

impl Caller for PausingCaller {
    async fn start(&mut self) -> Result<Option<StartupMessage>> {
        let key = Some("key".to_owned());
        Ok(Some(StartupMessage { database: self.database.to_owned(), key }))
    }

    async fn accept(&mut self) -> Result<()> {
        Ok(())
    }

    async fn refuse(&mut self, error: &StatementError) -> Result<()> {
        self.codes.borrow_mut().push(Some(error.code));
        Ok(())
    }

    async fn next(&mut self) -> Result<CallerMessage> {
        let Some((pause, statement)) = self.steps.pop_front() else {
            return Ok(CallerMessage::End);
        };
        sleep(pause).await;
        let (id, text) = ("1".to_owned(), String::new());
        Ok(CallerMessage::Request(Request { id, text, statement }))
    }

    async fn answer(&mut self, answer: &Answer) -> Result<()> {
        self.codes.borrow_mut().push(answer.code());
        Ok(())
    }
}

type HostCx = Rc<Cx<UnreachableTargets>>;

async fn codes(
    cx: &HostCx,
    database: &'static str,
    steps: impl IntoIterator<Item = (Duration, Statement)>,
) -> Vec<Option<ErrorCode>> {
    let codes = Rc::default();
    let steps = steps.into_iter().collect();
    serve(cx.clone(), PausingCaller { database, steps, codes: Rc::clone(&codes) }).await;
    codes.take()
}

/// First answer of a leader, with a configuration and a view.
fn first_update(echo: Millis) -> HostUpdate {
    let primary = Primary { service: "ledger".into(), id: Some("p".into()), changing: false };
    let view = FleetView {
        revision: ViewRevision { term: 1, number: 1 },
        targets: vec![target("p", TargetRole::Primary)],
        primaries: vec![primary],
        ..FleetView::default()
    };
    let deflated = compress(b"{}").expect("compression in memory");
    let limits = LimitUpdate {
        revision: AllocationRevision { term: 1, number: 1 },
        allocations: Some(vec![Allocation {
            workspace: "w".into(),
            fraction: Fraction::WHOLE,
            tokens: 100,
        }]),
    };
    HostUpdate {
        echo,
        lease: Millis(1_500),
        config: Some(ConfigDocument { version: 1, deflated }),
        view: Some(view),
        limits: Some(limits),
        ..HostUpdate::default()
    }
}

/// Leader that answers the first report and then nothing, whoever connects.
async fn answer_once(listener: TcpListener) {
    let (stream, _) = listener.accept().await.expect("connection of the host");
    let (mut reader, mut writer) = split_framed(stream);
    let bytes = reader.next().await.expect("report").expect("report");
    let Ok(Frame::Report(report)) = decode(&bytes) else { panic!("no report") };
    let update = Frame::Update(first_update(report.sent_at));
    writer.send(encode(&update)).await.expect("open connection");
    let mut silent = Vec::new();
    loop {
        silent.push(listener.accept().await);
    }
}

/// Host whose leader has answered once, and falls silent.
async fn host_that_lost_its_leader() -> HostCx {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let addr = listener.local_addr().expect("bound").to_string();
    tokio::task::spawn_local(answer_once(listener));
    let served = config(400, FleetWorkspace { rate: 1_000, burst: 1_000 });
    let cx = Rc::new(Cx::new(GatewaySettings::default(), UnreachableTargets(served)));
    let control_hosts = Rc::new(RefCell::new(ControlHosts::new(vec![addr])));
    tokio::task::spawn_local(control_link::run(cx.clone(), control_hosts, Incarnation(1)));
    sleep(MARGIN).await;
    cx
}

/// Guards against a host that refuses a database which was added while it had no contact to
/// control (404 on front-gt-isando-44, kcrc-pool-large trouble-2), and against one that goes on
/// with routes and keys which may have been withdrawn.
#[tokio::test]
async fn host_does_not_act_on_a_configuration_that_control_may_have_replaced_long_ago() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let cx = host_that_lost_its_leader().await;
            let no_database = Some(ErrorCode::NoDatabase);
            assert_eq!(codes(&cx, "added", []).await, [no_database], "the host knows no better");
            assert_eq!(codes(&cx, "db", []).await, [], "the host serves without contact");
            sleep(MAX_CONFIG_AGE).await;
            let not_known = Some(ErrorCode::Busy);
            assert_eq!(codes(&cx, "added", []).await, [not_known]);
            assert_eq!(codes(&cx, "db", []).await, [not_known]);
        })
        .await;
}

/// Guards against a transaction that goes on for a key which may have been withdrawn long ago:
/// it is rolled back, and its COMMIT is not sent.
#[tokio::test]
async fn transaction_does_not_outlive_the_configuration() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let cx = host_that_lost_its_leader().await;
            let steps = [
                (Duration::ZERO, Statement::Begin { read_only: false }),
                (MAX_CONFIG_AGE, Statement::Write),
                (Duration::ZERO, Statement::Commit),
                (Duration::ZERO, Statement::Read),
            ];
            let (refused, aborted) = (Some(ErrorCode::Busy), Some(ErrorCode::Aborted));
            assert_eq!(codes(&cx, "db", steps).await, [None, refused, aborted, refused]);
        })
        .await;
}
