/** What a policy is configured with; the values do not change while it runs. */
package fawndock.policy.config;
