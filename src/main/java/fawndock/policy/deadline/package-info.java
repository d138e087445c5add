/** Computes how long each step of a request may take. */
package fawndock.policy.deadline;
