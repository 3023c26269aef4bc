//! The settings text: what is not known, what is missing, what is wrong.

#[test]
fn settings_skip_unknown_keys_and_give_missing_ones_their_neutral_meaning() {
    let settings =
        violetseam_instance_settings::parse(br#"{"Novel": {"A": 1}, "Classes": [{"Effect": "retryable"}]}"#);
    let settings = settings.unwrap();
    assert_eq!((settings.fleet_size, settings.limits.max_attempts, settings.classes.len()), (1, 1, 1));
    assert!(
        !settings.limits.hedging && !settings.subscribes_to_list && settings.rules.slow_start_floor == 1.0
    );
    assert!(violetseam_instance_settings::parse(br#"{"Classes": [{"Effect": "novel"}]}"#).is_err());
}
