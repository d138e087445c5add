/** The actions that the policy decides on and that its runner carries out, in order. */
package fawndock.policy.action;
