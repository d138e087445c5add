/** The configuration of a policy. Its values do not change while the policy runs. */
package fawndock.policy.config;
