/**
 * The settings of a node and the configuration of the gateway: their types, parsing and validation.
 *
 * <p>{@link org.otterpond.config.NodeSettings} comes from the settings file that starts a process;
 * {@link org.otterpond.config.GatewayConfiguration} is one revision of what operators write through
 * the control API. All types are immutable or stateless and may be used by any thread, except
 * {@link org.otterpond.config.JsonFields}, which wraps a mutable JSON object.
 *
 * <p>May depend on {@code protocol}; today it depends on no other package of the program.
 */
package org.otterpond.config;
