/** The events that the runner of a policy reports to it, in the order in which they happen. */
package fawndock.policy.event;
