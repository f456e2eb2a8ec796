//! Tests of whole deployments.

use rstest::rstest;
use serde_json::Value;
use standin::{
    fetch,
    fleet::{self, Deployment, Fleet, Name, Size},
};

#[rstest]
#[case::wasfi(Name::Wasfi, Size::Full, 10, 28)]
#[case::addis(Name::Addis, Size::Full, 10, 28)]
#[case::small(Name::Wasfi, Size::Small, 2, 14)]
#[tokio::test]
async fn deployment_is_on_the_host_list(
    #[case] name: Name,
    #[case] size: Size,
    #[case] engines: usize,
    #[case] services: usize,
) {
    let deployment = Deployment::new(name, size);
    let fleet = Fleet::start(deployment, fleet::Settings::default())
        .await
        .expect("free ports");
    assert_eq!(fleet.engines().len(), engines);
    assert_eq!(fleet.services().len(), services);
    let hosts = fetch::get(fleet.platform().address(), "/v1/hosts").await;
    let hosts: Value = serde_json::from_slice(&hosts.expect("a list")).expect("JSON");
    assert_eq!(
        hosts["hosts"].as_array().map(Vec::len),
        Some(engines + services)
    );
    let rows = fleet.platform().rows("weights");
    assert_eq!(rows.len(), 5 + 3 + 1);
    for pool in fleet
        .deployment()
        .table
        .pipelines
        .values()
        .flat_map(|row| &row.stages)
    {
        assert!(
            fleet.pools().iter().any(|known| known.name == *pool),
            "{pool}"
        );
    }
}

#[tokio::test]
async fn dead_engine_comes_back_at_its_address() {
    let deployment = Deployment::new(Name::Wasfi, Size::Small);
    let fleet = Fleet::start(deployment, fleet::Settings::default())
        .await
        .expect("free ports");
    let node = fleet.engines().first().expect("an engine");
    let address = node.server().address();
    node.server().stop().await;
    fetch::get(address, "/load").await.unwrap_err();
    node.restart().await.expect("the same port");
    fetch::get(address, "/load").await.expect("a report");
}
