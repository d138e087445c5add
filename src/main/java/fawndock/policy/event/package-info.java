/** What has happened: the events that a policy's runner reports, in order. */
package fawndock.policy.event;
