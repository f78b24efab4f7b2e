package org.clementinequay.core.config;

/** What an upstream serves. */
public enum UpstreamKind {
  /** A model engine that serves model versions. */
  ENGINE,
  /** A plain service that serves routes. */
  SERVICE
}
