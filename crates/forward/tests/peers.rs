//! News of peers: the newest ones count, restarts begin anew; whose turn it is to hear them.

use millford_api::exchange::ProxyNews;
use millford_forward::exchange::rotation::MOST_PEERS_IN_A_TURN;
use millford_forward::exchange::{PeerTable, Rotation};
use quickcheck::quickcheck;

fn news(boot_id: u64, sequence: u64) -> ProxyNews {
    ProxyNews {
        member: "node-2".to_owned(),
        boot_id,
        sequence,
        ..ProxyNews::default()
    }
}

#[test]
fn the_newest_news_stand() {
    let mut table = PeerTable::default();
    assert!(table.take(&news(1, 5)));
    assert!(!table.take(&news(1, 4)), "older");
    assert!(!table.take(&news(1, 5)), "the same again");
    assert!(table.take(&news(1, 6)));
    assert!(table.take(&news(2, 1)), "restarted");
}

#[test]
fn few_peers_hear_every_turn() {
    let mut rotation = Rotation::default();
    for _ in 0..3 {
        assert_eq!(rotation.next(5).collect::<Vec<_>>(), [0, 1, 2, 3, 4]);
    }
    assert_eq!(rotation.next(0).len(), 0);
}

quickcheck! {
    /// However many peers there are, and while they come and go, no turn is a burst and nobody is left out.
    fn every_peer_has_its_turn(counts: Vec<u16>, last: u16) -> bool {
        let mut rotation = Rotation::default();
        for count in counts {
            let turn = rotation.next(usize::from(count));
            if turn.len() > MOST_PEERS_IN_A_TURN {
                return false;
            }
        }
        let count = usize::from(last % 1000);
        let mut heard = vec![0; count];
        for _ in 0..2 * count.div_ceil(MOST_PEERS_IN_A_TURN) {
            rotation.next(count).for_each(|peer| heard[peer] += 1);
        }
        heard.iter().all(|turns| (1..=3).contains(turns))
    }
}
