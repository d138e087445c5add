/**
 * Customer quotas: the counter service that all instances share counts requests, and this package
 * decides on them. {@link fawndock.policy.quota.QuotaAdmission} applies the rules to a request. The
 * classes are not thread-safe: an instance belongs to the thread of its {@link
 * fawndock.policy.GatewayPolicy}.
 */
package fawndock.policy.quota;
