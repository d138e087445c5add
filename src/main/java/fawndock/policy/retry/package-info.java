/** Decides whether a request may be sent again after failed attempts, and to which endpoints. */
package fawndock.policy.retry;
