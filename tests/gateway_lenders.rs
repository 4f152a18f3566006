//! Order in which a host asks the lenders of a workspace.

use pomelopin::{
    clock::Millis, fleet::messages::EntryHost, gateway::lenders::Lenders, ids::Workspace,
};

fn hosts() -> Vec<EntryHost> {
    let host = |number: usize| EntryHost {
        id: format!("h{number}").as_str().into(),
        addr: format!("h{number}:1"),
        domain: ["a", "b", "c"][number % 3].into(),
    };
    (0..60).map(host).collect()
}

/// Guards against a round trip between failure domains for a token that a lender in the host's own
/// domain has, and against one lender that all hosts of the other domains ask first: it runs out
/// while the other one has tokens, and each operation then waits for two lenders.
#[test]
fn hosts_ask_the_near_lender_and_divide_the_others() {
    let hosts = hosts();
    let mut lenders = Lenders::default();
    lenders.set_hosts(Millis(0), &hosts);
    for number in 0..20 {
        let workspace = Workspace::from(format!("w{number}").as_str());
        let order = |host: &EntryHost| -> Vec<EntryHost> {
            lenders.of(Millis(1), &workspace, host).cloned().collect()
        };
        let all = order(&hosts[0]);
        assert_eq!(all.len(), 2);
        let mut asked_first = [0, 0];
        for host in &hosts {
            let asked = order(host);
            assert!(all.iter().all(|lender| asked.contains(lender)), "both are asked");
            let near = all.iter().filter(|lender| lender.domain == host.domain).count();
            if near == 1 {
                assert_eq!(asked[0].domain, host.domain);
            } else {
                asked_first[usize::from(asked[0] == all[1])] += 1;
            }
        }
        let total = asked_first[0] + asked_first[1];
        assert!(asked_first.iter().all(|count| count * 5 >= total), "{asked_first:?}");
    }
}
