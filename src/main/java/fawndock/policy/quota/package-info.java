/**
 * The customers' quotas: counted in the counter service that all instances share, decided here.
 * {@link fawndock.policy.quota.QuotaAdmission} takes a request through the rules.
 */
package fawndock.policy.quota;
