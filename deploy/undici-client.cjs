/** The part of undici that the bundled node uses. Loading the whole package takes three times as long. */
const api = { request: require('undici/lib/api/api-request.js') };
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
Object.assign(Dispatcher.prototype, api);
module.exports = {
  Agent: require('undici/lib/dispatcher/agent.js'),
  buildConnector: require('undici/lib/core/connect.js'),
  DecoratorHandler: require('undici/lib/handler/decorator-handler.js'),
};
