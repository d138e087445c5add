package fawndock.policy.action;

/** Sends a text to one fellow gatekeeper, or to all of them when {@code toInstance} is below 0. */
public record SendPeerMessage(int toInstance, String text) implements PolicyAction {}
