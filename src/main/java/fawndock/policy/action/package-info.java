/** What the policy has decided: the actions that its runner carries out, in order. */
package fawndock.policy.action;
