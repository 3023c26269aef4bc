//! Unknown keys, missing keys and unknown values in the settings text.

#[test]
fn unknown_keys_are_skipped_missing_keys_are_neutral_and_unknown_values_are_rejected() {
    let settings =
        violetseam_instance_settings::parse(br#"{"Novel": {"A": 1}, "Classes": [{"Effect": "retryable"}]}"#);
    let settings = settings.unwrap();
    assert_eq!((settings.fleet_size, settings.limits.max_attempts, settings.classes.len()), (1, 1, 1));
    assert!(
        !settings.limits.hedging && !settings.subscribes_to_list && settings.rules.slow_start_floor == 1.0
    );
    assert!(violetseam_instance_settings::parse(br#"{"Classes": [{"Effect": "novel"}]}"#).is_err());
}
